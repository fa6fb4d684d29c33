#include "submission_driver.h"

#include "clock.h"

#include <QTimer>

namespace gypsumstep::daemon {

submission_driver::submission_driver(platform::client& platform, config::submission submission,
                                     handler done)
    : m_platform{platform}, m_submission{std::move(submission)}, m_done{std::move(done)}
{
}

void submission_driver::start()
{
    QTimer::singleShot(0, this, [this] { perform(m_submission.start(steady_now())); });
}

void submission_driver::step(const config::submission_event& event)
{
    perform(m_submission.step(event, steady_now()));
}

void submission_driver::perform(const config::submission_action& action)
{
    std::visit([this](const auto& concrete) { perform_one(concrete); }, action);
}

void submission_driver::perform_one(const config::read_row& action)
{
    m_platform.get(action.key, [this](const result<platform::table_row>& answer) {
        if (answer.has_value()) {
            step(config::row_answer{
                config::stored_row{answer.value().version, answer.value().value}});
        }
        else if (answer.error().code == error_code::not_found) {
            step(config::row_answer{config::stored_row{}});
        }
        else {
            step(config::row_answer{answer.error()});
        }
    });
}

void submission_driver::perform_one(const config::read_object& action)
{
    m_platform.get_object(action.name, [this](const result<std::string>& answer) {
        step(config::object_answer{answer});
    });
}

void submission_driver::perform_one(const config::store_object& action)
{
    m_platform.put_object(action.name, action.bytes, [this](const result<std::string>& answer) {
        step(config::stored_answer{answer});
    });
}

void submission_driver::perform_one(const config::commit_rows& action)
{
    std::vector<platform::table_write> writes;
    writes.reserve(action.writes.size());
    for (const config::conditional_write& write : action.writes) {
        writes.push_back({write.key, write.expected_version, write.value});
    }
    m_platform.transact(writes, [this](const result<platform::write_outcome>& answer) {
        if (answer.has_error()) {
            step(config::commit_answer{answer.error()});
        }
        else {
            step(config::commit_answer{answer.value().applied});
        }
    });
}

void submission_driver::perform_one(const config::wait_for& action)
{
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(action.time);
    QTimer::singleShot(wait, this, [this] { step(config::wait_over{}); });
}

void submission_driver::perform_one(const config::submission_outcome& outcome)
{
    m_finished = true;
    m_done(outcome);
}

} // namespace gypsumstep::daemon
