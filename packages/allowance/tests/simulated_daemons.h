/// \file
/// Daemons that exchange the messages of allowances over a simulated network.
#pragma once

#include "gypsumstep/allowance/participant.h"
#include "gypsumstep/base/random.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gypsumstep::allowance::test {

inline const std::map<std::string, std::string, std::less<>> regions{
    {"a1", "a"}, {"a2", "a"}, {"b1", "b"}, {"b2", "b"}, {"c1", "c"}, {"c2", "c"}};

/// An operation of a client and what became of it.
struct operation_record {
    time_point arrived{};
    std::optional<time_point> ran_at;
    duration retry_after{0}; ///< if it was refused
    bool is_waiting{true};
    bool is_lost{false}; ///< its daemon stopped while it waited
};

class simulated_daemons {
public:
    struct daemon {
        homes::daemon_entry entry;
        std::vector<homes::daemon_entry> list; ///< the daemons that it knows
        std::unique_ptr<participant> node;     ///< empty while it is down
        std::uint64_t life{0};
    };

    simulated_daemons(std::size_t count, account_limits limits, std::uint64_t seed)
        : m_limits{std::move(limits)}, m_random{seed}
    {
        std::size_t index = 0;
        for (auto region = regions.begin(); index < count; ++index) {
            // The first two daemons of each domain are the larger VMs.
            const bool large = index < 2 * regions.size();
            m_daemons.push_back({{"front-" + region->first + "-" + std::to_string(index),
                                  region->first, "", 0, large ? 500U : 120U},
                                 {},
                                 nullptr,
                                 0});
            region = std::next(region) == regions.end() ? regions.begin() : std::next(region);
        }
        for (daemon& each : m_daemons) {
            each.list = all();
        }
    }

    [[nodiscard]] std::vector<homes::daemon_entry> all() const
    {
        std::vector<homes::daemon_entry> entries;
        for (const daemon& each : m_daemons) {
            entries.push_back(each.entry);
        }
        return entries;
    }

    void start(std::size_t index)
    {
        daemon& started = m_daemons[index];
        ++started.life;
        started.node = std::make_unique<participant>(bound, started.entry, regions,
                                                     m_random.below(UINT32_MAX));
        started.node->set_limits(m_limits, m_now);
        started.node->set_daemons(started.list, m_now);
        flush(index);
    }

    void stop(std::size_t index)
    {
        m_daemons[index].node.reset();
        for (const auto& [id, operation] : m_open) {
            operation_record& record = records.at(operation.account)[operation.place];
            record.is_lost = record.is_lost || (operation.daemon == index && record.is_waiting);
        }
        ++m_daemons[index].life;
    }

    void set_list(std::size_t index, std::vector<homes::daemon_entry> list)
    {
        m_daemons[index].list = std::move(list);
        if (m_daemons[index].node) {
            m_daemons[index].node->set_daemons(m_daemons[index].list, m_now);
            flush(index);
        }
    }

    void set_limits(std::size_t index, const account_limits& limits)
    {
        if (m_daemons[index].node) {
            m_daemons[index].node->set_limits(limits, m_now);
            flush(index);
        }
    }

    void at(duration time, std::function<void()> action)
    {
        m_events.emplace(time_point{time}, std::move(action));
    }

    /// A client of a daemon starts an operation now.
    void operate(std::size_t index, const std::string& account)
    {
        if (!m_daemons[index].node) {
            return;
        }
        const operation_id id = m_next_operation++;
        records[account].push_back({m_now, {}, {}, true, false});
        m_open[id] = {account, records[account].size() - 1, index};
        if (m_daemons[index].node->start(account, id, m_now)) {
            record_of(id).ran_at = m_now;
            record_of(id).is_waiting = false;
        }
        flush(index);
    }

    /// Schedules operations at random times; \p pick chooses the daemon of each.
    void schedule_demand(const std::string& account, double per_second, duration from, duration to,
                         const std::function<std::size_t()>& pick)
    {
        const duration mean{static_cast<duration::rep>(1e6 / per_second)};
        for (duration time = from + m_random.exponential(mean); time < to;
             time += m_random.exponential(mean)) {
            at(time, [this, account, pick] { operate(pick(), account); });
        }
    }

    void run_until(duration end)
    {
        while (!m_events.empty() && m_events.begin()->first < time_point{end}) {
            auto event = m_events.extract(m_events.begin());
            m_now = std::max(m_now, event.key());
            event.mapped()();
        }
        m_now = time_point{end};
    }

    [[nodiscard]] std::size_t size() const { return m_daemons.size(); }
    [[nodiscard]] daemon& at_index(std::size_t index) { return m_daemons[index]; }
    random_source& random() { return m_random; }

    /// The most operations of an account that ran in any window of 5 s that starts from \p from on.
    [[nodiscard]] std::size_t most_in_window(const std::string& account, duration from = {}) const
    {
        std::vector<time_point> times;
        for (const operation_record& record : records.at(account)) {
            if (record.ran_at && *record.ran_at >= time_point{from}) {
                times.push_back(*record.ran_at);
            }
        }
        std::sort(times.begin(), times.end());
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] > bound.window) {
                ++first;
            }
            most = std::max(most, last - first + 1);
        }
        return most;
    }

    struct summary {
        std::size_t ran{0};
        std::size_t refused{0};
        duration longest_wait{0};
    };

    /// The operations that arrived in a span of time.
    [[nodiscard]] summary summarize(const std::string& account, duration from, duration to) const
    {
        summary result;
        for (const operation_record& record : records.at(account)) {
            if (record.arrived < time_point{from} || record.arrived >= time_point{to}) {
                continue;
            }
            result.ran += record.ran_at ? 1 : 0;
            result.refused += record.ran_at || record.is_lost ? 0 : 1;
            if (record.ran_at) {
                result.longest_wait =
                    std::max(result.longest_wait, *record.ran_at - record.arrived);
            }
        }
        return result;
    }

    /// The operations that were refused although a bucket with the account's rate and burst, from
    /// which every operation that ran took a token, had one.
    [[nodiscard]] std::size_t refused_below_limit(const std::string& account,
                                                  const account_limit& limit, duration from,
                                                  duration to) const
    {
        std::size_t refused = 0;
        double tokens = limit.burst;
        time_point last{};
        for (const operation_record& record : records.at(account)) {
            const double passed = std::chrono::duration<double>{record.arrived - last}.count();
            tokens = std::min(limit.burst, tokens + passed * limit.rate_per_second);
            last = record.arrived;
            const bool counts =
                record.arrived >= time_point{from} && record.arrived < time_point{to};
            refused += counts && !record.ran_at && tokens >= 1 ? 1 : 0;
            tokens -= record.ran_at ? 1 : 0;
        }
        return refused;
    }

    terms bound;
    std::map<std::string, std::vector<operation_record>> records;
    /// Whether a datagram between two domains arrives.
    std::function<bool(const std::string&, const std::string&)> is_connected{
        [](const std::string&, const std::string&) { return true; }};
    std::size_t datagrams{0};
    std::size_t datagrams_between_regions{0};

private:
    struct open_operation {
        std::string account;
        std::size_t place{0}; ///< among the account's records
        std::size_t daemon{0};
    };

    operation_record& record_of(operation_id id)
    {
        const open_operation& open = m_open.at(id);
        return records.at(open.account)[open.place];
    }

    void flush(std::size_t index)
    {
        participant& node = *m_daemons[index].node;
        for (outgoing_message& message : node.take_messages()) {
            deliver(index, std::move(message));
        }
        for (const decision& made : node.take_decisions()) {
            operation_record& record = record_of(made.operation);
            if (made.granted) {
                record.ran_at = m_now;
            }
            record.retry_after = made.retry_after;
            record.is_waiting = false;
        }
        const time_point next = node.next_tick();
        if (next != time_point::max()) {
            const std::uint64_t life = m_daemons[index].life;
            m_events.emplace(std::max(next, m_now + 1ms), [this, index, life] {
                if (m_daemons[index].life == life && m_daemons[index].node->next_tick() <= m_now) {
                    m_daemons[index].node->on_tick(m_now);
                    flush(index);
                }
            });
        }
    }

    void deliver(std::size_t from, outgoing_message message)
    {
        const auto target =
            std::find_if(m_daemons.begin(), m_daemons.end(), [&](const daemon& candidate) {
                return candidate.entry.name == message.daemon;
            });
        if (target == m_daemons.end()) {
            return;
        }
        const std::string& here = m_daemons[from].entry.domain;
        const std::string& there = target->entry.domain;
        const bool one_region = regions.at(here) == regions.at(there);
        ++datagrams;
        datagrams_between_regions += one_region ? 0 : 1;
        if (!is_connected(here, there)) {
            return;
        }
        const duration latency = here == there ? 300us : one_region ? 3ms : 20ms;
        const auto index = static_cast<std::size_t>(target - m_daemons.begin());
        m_events.emplace(m_now + latency, [this, index, content = std::move(message.content)] {
            if (m_daemons[index].node) {
                m_daemons[index].node->on_message(content, m_now);
                flush(index);
            }
        });
    }

    account_limits m_limits;
    random_source m_random;
    std::vector<daemon> m_daemons;
    std::multimap<time_point, std::function<void()>> m_events;
    time_point m_now{};
    operation_id m_next_operation{1};
    std::map<operation_id, open_operation> m_open;
};

} // namespace gypsumstep::allowance::test
