#include "gypsumstep/config/submission.h"

#include <algorithm>
#include <utility>

namespace gypsumstep::config {
namespace {

constexpr std::uint32_t max_doublings = 16;

const error unexpected_answer{error_code::internal, "answer of another kind than asked for"};

} // namespace

submission::submission(patch change, validator validate, submission_options options,
                       random_source random)
    : m_patch{std::move(change)}, m_validate{std::move(validate)}, m_options{options}, m_random{
                                                                                           random}
{
}

submission_action submission::start(time_point now)
{
    m_deadline = now + m_options.time_limit;
    if (!is_patch_id(m_patch.id)) {
        return refuse({}, "a patch id has 1 to 64 of A-Z, a-z, 0-9, '-' and '_'");
    }
    return enter(phase::reading_head);
}

submission_action submission::step(const submission_event& event, time_point now)
{
    const bool expects_row = m_phase != phase::reading_document &&
                             m_phase != phase::storing_document && m_phase != phase::committing;
    if (std::holds_alternative<wait_over>(event)) {
        return request_for_phase();
    }
    if (const auto* row = std::get_if<row_answer>(&event); row != nullptr && expects_row) {
        return on_row(row->row, now);
    }
    if (const auto* object = std::get_if<object_answer>(&event);
        object != nullptr && m_phase == phase::reading_document) {
        return on_object(object->bytes, now);
    }
    if (const auto* stored = std::get_if<stored_answer>(&event);
        stored != nullptr && m_phase == phase::storing_document) {
        return on_stored(stored->name, now);
    }
    if (const auto* commit = std::get_if<commit_answer>(&event);
        commit != nullptr && m_phase == phase::committing) {
        return on_commit(commit->applied, now);
    }
    return retry(unexpected_answer, now);
}

submission_action submission::enter(phase next)
{
    m_phase = next;
    m_failures = 0;
    return request_for_phase();
}

submission_action submission::request_for_phase()
{
    switch (m_phase) {
    case phase::reading_head:
    case phase::resolving_head:
        return read_row{head_key};
    case phase::reading_document:
        return read_object{m_head.object};
    case phase::storing_document:
        return store_object{object_name(m_patch), m_document->dump()};
    case phase::committing:
        return make_commit();
    case phase::resolving_patch:
        return read_row{patch_key(m_patch.id)};
    case phase::resolving_change:
    case phase::listing_changes:
        return read_row{history_key(m_cursor)};
    }
    return read_row{head_key};
}

submission_action submission::retry(const error& failure, time_point now)
{
    const auto doublings = std::min(m_failures++, max_doublings);
    const duration bound =
        std::min<duration>(m_options.max_backoff, m_options.first_backoff * (1U << doublings));
    const duration wait = m_random.between(duration{1}, bound);
    if (now + wait < m_deadline) {
        return wait_for{wait};
    }
    if (m_phase == phase::listing_changes) {
        return stale_outcome();
    }
    submission_outcome outcome;
    outcome.status =
        m_commit_unresolved ? submission_status::unknown : submission_status::unavailable;
    outcome.version = m_head.version;
    outcome.message = failure.message;
    return outcome;
}

submission_action submission::on_row(const result<stored_row>& answer, time_point now)
{
    if (!answer) {
        return retry(answer.error(), now);
    }
    switch (m_phase) {
    case phase::resolving_patch:
        return on_patch(answer.value(), now);
    case phase::resolving_change:
        return on_change(answer.value());
    case phase::listing_changes:
        return on_listed(answer.value());
    default:
        return on_head(answer.value());
    }
}

submission_action submission::on_head(const stored_row& row)
{
    m_head = {};
    m_current_row_version = row.version;
    if (row.version != 0) {
        auto head = parse_head(row.value);
        if (!head) {
            return refuse({}, head.error().message);
        }
        m_head = std::move(head.value());
    }
    if (m_phase == phase::resolving_head || m_head.version != m_patch.base) {
        return enter(phase::resolving_patch);
    }
    m_expected_row_version = m_current_row_version;
    if (m_current_row_version == 0) {
        return build_document(json::object());
    }
    return enter(phase::reading_document);
}

submission_action submission::on_object(const result<std::string>& answer, time_point now)
{
    if (!answer) {
        return retry(answer.error(), now);
    }
    const json document = json::parse(answer.value(), nullptr, false);
    if (document.is_discarded()) {
        return refuse({}, "object " + m_head.object + " is not JSON");
    }
    return build_document(document);
}

submission_action submission::build_document(const json& base_document)
{
    auto changed = apply_patch(base_document, m_patch);
    if (!changed) {
        return refuse({}, changed.error().message);
    }
    m_problems = m_validate(changed.value());
    if (std::ranges::any_of(
            m_problems, [](const finding& problem) { return problem.level == severity::error; })) {
        return refuse(m_problems, "the patched configuration is not valid");
    }
    m_document = std::make_shared<const json>(std::move(changed.value()));
    return enter(phase::storing_document);
}

submission_action submission::on_stored(const result<std::string>& answer, time_point now)
{
    // The object's name contains the patch's id, so storing the same bytes again is harmless.
    return answer ? enter(phase::committing) : retry(answer.error(), now);
}

submission_action submission::on_commit(const result<bool>& answer, time_point now)
{
    if (answer && answer.value()) {
        submission_outcome outcome;
        outcome.status = submission_status::accepted;
        outcome.version = m_patch.base.next();
        outcome.change = change_record{outcome.version, m_patch};
        outcome.document = m_document;
        outcome.problems = m_problems;
        return outcome;
    }
    if (!answer && answer.error().code != error_code::timeout) {
        return retry(answer.error(), now); // the commit was not applied
    }
    m_commit_unresolved = m_commit_unresolved || !answer;
    return enter(phase::resolving_head);
}

submission_action submission::on_patch(const stored_row& row, time_point now)
{
    if (row.version != 0 && row.value.is_object() && row.value.contains("version") &&
        row.value["version"].is_number_unsigned()) {
        m_cursor = config_version{row.value["version"].get<std::uint64_t>()};
        return enter(phase::resolving_change);
    }
    // The head was read before the patch's row. If the head has changed, a commit in
    // flight can no longer take effect; if it has not, sending it again is safe.
    const bool is_built = m_document != nullptr;
    if (is_built && m_current_row_version == m_expected_row_version) {
        m_phase = phase::committing;
        return retry({error_code::timeout, "no answer to the commit"}, now);
    }
    m_commit_unresolved = false;
    return list_changes();
}

submission_action submission::on_change(const stored_row& row)
{
    auto change = parse_change(row.value);
    if (row.version == 0 || !change) {
        return refuse({}, "the history of version " + std::to_string(m_cursor.value()) +
                              " cannot be read");
    }
    const patch& recorded = change.value().change;
    if (recorded.base != m_patch.base || recorded.kind != m_patch.kind ||
        recorded.content != m_patch.content) {
        return refuse({}, "patch id " + m_patch.id + " stands for another change, version " +
                              std::to_string(m_cursor.value()));
    }
    submission_outcome outcome;
    outcome.status = submission_status::accepted;
    outcome.version = m_cursor;
    outcome.change = std::move(change.value());
    outcome.document = m_document;
    return outcome;
}

submission_action submission::list_changes()
{
    const std::uint64_t newest = m_head.version.value();
    const std::uint64_t oldest =
        newest > m_options.since_limit ? newest - m_options.since_limit + 1 : 1;
    m_cursor = std::max(m_patch.base.next(), config_version{oldest});
    return m_cursor > m_head.version ? stale_outcome() : enter(phase::listing_changes);
}

submission_action submission::on_listed(const stored_row& row)
{
    if (auto change = parse_change(row.value); row.version != 0 && change) {
        m_since.push_back(std::move(change.value()));
    }
    m_cursor = m_cursor.next();
    return m_cursor > m_head.version ? stale_outcome() : enter(phase::listing_changes);
}

submission_action submission::stale_outcome() const
{
    submission_outcome outcome;
    outcome.status = submission_status::stale;
    outcome.version = m_head.version;
    outcome.since = m_since;
    outcome.message = "the patch is against version " + std::to_string(m_patch.base.value()) +
                      ", version " + std::to_string(m_head.version.value()) + " is in force";
    return outcome;
}

submission_action submission::refuse(findings problems, std::string message) const
{
    submission_outcome outcome;
    outcome.status = submission_status::invalid;
    outcome.version = m_head.version;
    outcome.problems = std::move(problems);
    outcome.message = std::move(message);
    return outcome;
}

commit_rows submission::make_commit() const
{
    const change_record change{m_patch.base.next(), m_patch};
    return {{{head_key, m_expected_row_version, to_json(make_head(change))},
             {history_key(change.version), 0, to_json(change)},
             {patch_key(m_patch.id), 0, {{"version", change.version.value()}}}}};
}

} // namespace gypsumstep::config
