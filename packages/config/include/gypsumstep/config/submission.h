/// \file
/// How one patch becomes a version, exactly once, over a platform that may lose answers.
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

/// A row as the platform's table holds it; version 0 stands for an absent one.
struct stored_row {
    std::uint64_t version{0};
    json value;

    friend bool operator==(const stored_row&, const stored_row&) = default;
};

/// A write that the platform applies only to the version that it expects.
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
/// Come back after this time with wait_over.
struct wait_for {
    duration time{};
};

/// How a submission ended.
enum class submission_status {
    accepted,    ///< the patch is a version, by this or an earlier submission
    stale,       ///< not run: another version than the base is in force
    invalid,     ///< not run: it does not apply, or the result has findings
    unavailable, ///< not run: the platform could not be reached in time
    unknown,     ///< no answer in time; submit the same patch again to learn it
};

/// What the operator is told.
struct submission_outcome {
    submission_status status{submission_status::unknown};
    config_version version;              ///< accepted: the patch's; stale: the one in force
    std::vector<change_record> since;    ///< stale: changes after the base, oldest first
    findings problems;                   ///< invalid: errors; accepted: warnings
    std::string message;                 ///< for people
    std::optional<change_record> change; ///< accepted
    document_ptr document;               ///< accepted by this submission; else null
};

/// The one thing to do next.
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
/// True: applied. False: a row had another version.
struct commit_answer {
    result<bool> applied;
};
struct wait_over {};

using submission_event =
    std::variant<row_answer, object_answer, stored_answer, commit_answer, wait_over>;

/// Bounds of a submission.
struct submission_options {
    duration patience{30'000'000};  ///< from start to outcome
    duration retry_first{100'000};  ///< upper bound of the first wait
    duration retry_most{3'000'000}; ///< upper bound of every wait
    std::size_t since_limit{50};    ///< changes listed in a refusal, the newest ones

    friend bool operator==(const submission_options&, const submission_options&) = default;
};

/// Decides the steps of one submission. Pure; one action is open at a time.
///
/// The commit is conditional on the head's version and on the absence of the
/// patch's id, so that sending it again after a lost answer cannot apply it twice.
/// Once the head has moved on, the copy in flight can no longer take effect, and
/// the patch's row tells whether it did.
class submission {
public:
    submission(patch change, validator validate, submission_options options, random_source random);

    /// The first action.
    [[nodiscard]] submission_action start(time_point now);

    /// The action after the answer to the last one. An answer of another kind
    /// than asked for counts as a failure.
    [[nodiscard]] submission_action step(const submission_event& event, time_point now);

private:
    enum class phase {
        reading_head,
        reading_document,
        storing_document,
        committing,
        resolving_head,   ///< which version is in force now
        resolving_patch,  ///< whether the patch's id is there
        resolving_change, ///< whether it stands for this patch
        listing_changes,  ///< what happened since the base
    };

    submission_action ask();
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
    submission_action build(const json& base_document);
    submission_action refuse(findings problems, std::string message) const;
    submission_action list_changes();
    submission_action stale() const;
    [[nodiscard]] commit_rows make_commit() const;

    patch m_patch;
    validator m_validate;
    submission_options m_options;
    random_source m_random;
    phase m_phase{phase::reading_head};
    time_point m_end{};
    std::uint32_t m_failures{0};
    bool m_sent{false}; ///< a commit was sent whose effect is not known

    std::uint64_t m_expected_row{0}; ///< the head row's version that was built on
    std::uint64_t m_current_row{0};  ///< as last read
    head_record m_head;              ///< as last read; version 0 if absent
    config_version m_cursor;         ///< of resolving_change and listing_changes
    document_ptr m_document;
    findings m_problems; ///< of m_document; warnings only
    std::vector<change_record> m_since;
};

} // namespace gypsumstep::config
