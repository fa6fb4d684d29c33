/// \file
/// Commits one patch as a version exactly once, although the platform may lose answers.
#pragma once

#include "gypsumstep/base/finding.h"
#include "gypsumstep/base/random.h"
#include "gypsumstep/base/time.h"
#include "gypsumstep/config/records.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gypsumstep::config {

/// Checks a whole document; a finding that is an error refuses it.
using validator = std::function<findings(const json&)>;

/// A row of the platform's table; version 0 means that the row does not exist.
struct stored_row {
    std::uint64_t version{0};
    json value;

    friend bool operator==(const stored_row&, const stored_row&) = default;
};

/// A write that the platform applies only if the row has the expected version.
struct conditional_write {
    std::string key;
    std::uint64_t expected_version{0};
    json value;

    friend bool operator==(const conditional_write&, const conditional_write&) = default;
};

/// Read a row; answered by row_answer.
struct read_row {
    std::string key;
};
/// Read an object; answered by object_answer.
struct read_object {
    std::string name;
};
/// Store an object; answered by stored_answer.
struct store_object {
    std::string name;
    std::string bytes;
};
/// Apply all writes or none; answered by commit_answer.
struct commit_rows {
    std::vector<conditional_write> writes;
};
/// Wait for this time, then step with wait_over.
struct wait_for {
    duration time{};
};

/// How a submission ended.
enum class submission_status {
    accepted,    ///< this or an earlier submission committed the patch
    stale,       ///< not applied: the version in force is not the base
    invalid,     ///< not applied: the patch fails, or its result has errors
    unavailable, ///< not applied: the platform could not be reached in time
    unknown,     ///< no answer in time; submit the same patch again to learn the outcome
};

/// Outcome of a submission, as reported to the operator.
struct submission_outcome {
    submission_status status{submission_status::unknown};
    config_version version;              ///< accepted: of the patch; stale: in force
    std::vector<change_record> since;    ///< stale: changes after the base, oldest first
    findings problems;                   ///< invalid: errors; accepted: warnings
    std::string message;                 ///< human-readable
    std::optional<change_record> change; ///< accepted
    document_ptr document;               ///< accepted by this submission; else null
};

/// The next action that the caller must run, or the outcome.
using submission_action =
    std::variant<read_row, read_object, store_object, commit_rows, wait_for, submission_outcome>;

struct row_answer {
    result<stored_row> row;
};
struct object_answer {
    result<std::string> bytes;
};
struct stored_answer {
    result<std::string> name;
};
/// True: all writes were applied. False: a row did not have its expected version.
struct commit_answer {
    result<bool> applied;
};
struct wait_over {};

using submission_event =
    std::variant<row_answer, object_answer, stored_answer, commit_answer, wait_over>;

/// Time limits, retry backoff and list limit of a submission.
struct submission_options {
    duration time_limit{30'000'000}; ///< time from start to outcome
    duration first_backoff{100'000}; ///< upper bound of the backoff before the first retry
    duration max_backoff{3'000'000}; ///< upper bound of every backoff
    std::size_t since_limit{50};     ///< number of newest changes listed for a stale patch

    friend bool operator==(const submission_options&, const submission_options&) = default;
};

/// State machine of one submission. Does no I/O; one action is open at a time.
///
/// The commit is conditional on the head's version and on the absence of the
/// patch's row, so that sending it again after a lost answer cannot apply it twice.
/// Once the head has a newer version, a commit that is still in flight can no
/// longer take effect, and the patch's row shows whether it did.
class submission {
public:
    submission(patch change, validator validate, submission_options options, random_source random);

    /// Returns the first action.
    [[nodiscard]] submission_action start(time_point now);

    /// Handles the answer to the last action and returns the next one. An answer of
    /// the wrong type counts as a failure.
    [[nodiscard]] submission_action step(const submission_event& event, time_point now);

private:
    enum class phase {
        reading_head,
        reading_document,
        storing_document,
        committing,
        resolving_head,   ///< reads which version is in force now
        resolving_patch,  ///< reads whether the patch's row exists
        resolving_change, ///< compares the recorded change with this patch
        listing_changes,  ///< reads the changes since the base
    };

    submission_action request_for_phase();
    submission_action retry(const error& failure, time_point now);
    submission_action enter(phase next);
    submission_action on_row(const result<stored_row>& answer, time_point now);
    submission_action on_object(const result<std::string>& answer, time_point now);
    submission_action on_stored(const result<std::string>& answer, time_point now);
    submission_action on_commit(const result<bool>& answer, time_point now);
    submission_action on_head(const stored_row& row);
    submission_action on_patch(const stored_row& row, time_point now);
    submission_action on_change(const stored_row& row);
    submission_action on_listed(const stored_row& row);
    submission_action build_document(const json& base_document);
    submission_action refuse(findings problems, std::string message) const;
    submission_action list_changes();
    submission_action stale_outcome() const;
    [[nodiscard]] commit_rows make_commit() const;

    patch m_patch;
    validator m_validate;
    submission_options m_options;
    random_source m_random;
    phase m_phase{phase::reading_head};
    time_point m_deadline{};
    std::uint32_t m_failures{0};
    bool m_commit_unresolved{false}; ///< a commit was sent and its outcome is unknown

    std::uint64_t m_expected_row_version{0}; ///< version of the head row that the commit requires
    std::uint64_t m_current_row_version{0};  ///< version of the head row, as last read
    head_record m_head;                      ///< head row as last read; version 0 if absent
    config_version m_cursor; ///< version that resolving_change or listing_changes reads
    document_ptr m_document;
    findings m_problems; ///< warnings about m_document
    std::vector<change_record> m_since;
};

} // namespace gypsumstep::config
