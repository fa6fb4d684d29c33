/// \file
/// What the operator asks for, as typed values.
#pragma once

#include "gypsumstep/base/error.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gypsumstep::ctl {

/// What gypsumstepctl returns to the shell.
enum class exit_code : int {
    ok = 0,
    refused = 1,     ///< understood by the daemon, and not done
    usage = 2,       ///< the command line or a file named in it is wrong; nothing was sent
    unreachable = 3, ///< no daemon answered; nothing was done
    unknown = 4,     ///< sent, but no answer came: it may have been done
};

/// Flags that some commands take.
struct command_options {
    std::optional<std::uint64_t> base; ///< the configuration version that a patch is against
    std::string author;                ///< who, for the history
    std::string reason;                ///< why, for the history
    std::string id;                    ///< names a patch, so that it never counts twice
};

struct show_help {
    friend bool operator==(const show_help&, const show_help&) = default;
};
struct show_status {
    friend bool operator==(const show_status&, const show_status&) = default;
};
struct show_report {
    friend bool operator==(const show_report&, const show_report&) = default;
};
struct show_history {
    friend bool operator==(const show_history&, const show_history&) = default;
};

/// Shows the configuration in force, or an earlier version.
struct show_config {
    std::optional<std::uint64_t> version;

    friend bool operator==(const show_config&, const show_config&) = default;
};

/// Shows what changed between two versions.
struct diff_config {
    std::uint64_t from{0};
    std::uint64_t to{0};

    friend bool operator==(const diff_config&, const diff_config&) = default;
};

/// Submits a merge patch (RFC 7396) from a file against a stated version.
struct patch_config {
    std::uint64_t base{0};
    std::string file;
    std::string author;
    std::string reason;
    std::string id;

    friend bool operator==(const patch_config&, const patch_config&) = default;
};

/// Submits a new version with the content of an earlier one.
struct rollback_config {
    std::uint64_t version{0};
    std::string author;
    std::string reason;
    std::string id;

    friend bool operator==(const rollback_config&, const rollback_config&) = default;
};

/// Makes a server the primary of its group.
struct promote_server {
    std::string group;
    std::string server;

    friend bool operator==(const promote_server&, const promote_server&) = default;
};

/// Gives a backend server or a daemon no new work.
struct drain {
    std::string name;

    friend bool operator==(const drain&, const drain&) = default;
};

/// Stops or resumes automatic failover of a group.
struct freeze_group {
    std::string group;
    bool frozen{true};

    friend bool operator==(const freeze_group&, const freeze_group&) = default;
};

/// Changes which log lines the daemon writes.
struct set_log_level {
    std::string level;

    friend bool operator==(const set_log_level&, const set_log_level&) = default;
};

using command =
    std::variant<show_help, show_status, show_report, show_history, show_config, diff_config,
                 patch_config, rollback_config, promote_server, drain, freeze_group, set_log_level>;

/// Reads the words after the flags, e.g. {"config", "diff", "3", "5"}.
[[nodiscard]] result<command> parse_command(const std::vector<std::string>& words,
                                            const command_options& options);

/// What `gypsumstepctl --help` prints.
[[nodiscard]] std::string help_text();

} // namespace gypsumstep::ctl
