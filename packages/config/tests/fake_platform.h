/// \file
/// Simulated platform in virtual time, with delays, outages and lost requests and answers.
#pragma once

#include "gypsumstep/config/submission.h"
#include "gypsumstep/sim/event_queue.h"

#include <functional>
#include <map>
#include <string>
#include <utility>

namespace gypsumstep::config::fake {

/// Delays and faults of the simulated platform.
struct platform_conditions {
    duration delay_low{1'000}; ///< minimum delay one way
    duration delay_high{10'000};
    double request_loss{0.0};
    double answer_loss{0.0};
    double late_request{0.0};        ///< probability that a request arrives late
    duration late_delay{20'000'000}; ///< maximum delay of a late request
    duration timeout{2'000'000};     ///< after this, the client gives up
    bool down{false};                ///< every request that arrives is refused
};

/// A transactional table and an object store.
class platform {
public:
    using handler = std::function<void(submission_event)>;

    platform(sim::event_queue& queue, std::uint64_t seed) : m_queue{queue}, m_random{seed} {}

    platform_conditions conditions;

    /// Runs one action; \p done is called exactly once, with the answer or a timeout.
    void run(const submission_action& action, const handler& done)
    {
        if (const auto* wait = std::get_if<wait_for>(&action)) {
            m_queue.after(wait->time, [done] { done(wait_over{}); });
            return;
        }
        ++m_requests;
        auto open = std::make_shared<bool>(true);
        const auto answer = [open, done](const submission_event& event) {
            if (std::exchange(*open, false)) {
                done(event);
            }
        };
        m_queue.after(conditions.timeout, [answer, action] {
            answer(failure(action, {error_code::timeout, "no answer"}));
        });
        if (m_random.chance(conditions.request_loss)) {
            return;
        }
        const bool late = m_random.chance(conditions.late_request);
        const duration one_way_delay =
            late ? m_random.between(duration{0}, conditions.late_delay) : delay();
        m_queue.after(one_way_delay, [this, action, answer] {
            const submission_event event = conditions.down
                                               ? failure(action, {error_code::unavailable, "down"})
                                               : serve(action);
            if (!m_random.chance(conditions.answer_loss)) {
                m_queue.after(delay(), [answer, event] { answer(event); });
            }
        });
    }

    [[nodiscard]] stored_row row(const std::string& key) const
    {
        const auto found = m_rows.find(key);
        return found == m_rows.end() ? stored_row{} : found->second;
    }
    [[nodiscard]] std::string object(const std::string& name) const { return m_objects.at(name); }
    [[nodiscard]] std::uint64_t requests() const { return m_requests; }

private:
    duration delay() { return m_random.between(conditions.delay_low, conditions.delay_high); }

    static submission_event failure(const submission_action& action, error problem)
    {
        if (std::holds_alternative<read_row>(action)) {
            return row_answer{std::move(problem)};
        }
        if (std::holds_alternative<read_object>(action)) {
            return object_answer{std::move(problem)};
        }
        if (std::holds_alternative<store_object>(action)) {
            return stored_answer{std::move(problem)};
        }
        return commit_answer{std::move(problem)};
    }

    submission_event serve(const submission_action& action)
    {
        if (const auto* read = std::get_if<read_row>(&action)) {
            return row_answer{row(read->key)};
        }
        if (const auto* object = std::get_if<read_object>(&action)) {
            const auto found = m_objects.find(object->name);
            if (found == m_objects.end()) {
                return object_answer{error{error_code::not_found, object->name}};
            }
            return object_answer{found->second};
        }
        if (const auto* store = std::get_if<store_object>(&action)) {
            m_objects[store->name] = store->bytes;
            return stored_answer{store->name};
        }
        return commit_answer{commit(std::get<commit_rows>(action))};
    }

    bool commit(const commit_rows& rows)
    {
        for (const auto& write : rows.writes) {
            if (row(write.key).version != write.expected_version) {
                return false;
            }
        }
        for (const auto& write : rows.writes) {
            m_rows[write.key] = {write.expected_version + 1, write.value};
        }
        return true;
    }

    sim::event_queue& m_queue;
    random_source m_random;
    std::map<std::string, stored_row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::uint64_t m_requests{0};
};

/// Runs a submission on the queue and passes its outcome to \p done.
inline void submit(sim::event_queue& queue, platform& target,
                   const std::shared_ptr<submission>& job, const submission_action& action,
                   const std::function<void(const submission_outcome&)>& done)
{
    if (const auto* outcome = std::get_if<submission_outcome>(&action)) {
        done(*outcome);
        return;
    }
    target.run(action, [&queue, &target, job, done](const submission_event& event) {
        submit(queue, target, job, job->step(event, queue.now()), done);
    });
}

} // namespace gypsumstep::config::fake
