#include "gossip_load.h"

#include "allocation_counter.h"
#include "gossip_fleet.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <deque>

namespace gypsumstep::experiments {
namespace {

using namespace membership; // NOLINT: this file is about nothing else
using membership::test::address_of;

constexpr double seconds_per_day = 86'400;

/// Body of a configuration change with its delta, in bytes.
constexpr std::size_t config_body_bytes = 250;

/// How long some members have a rumour and others have not.
constexpr duration spread_time = 1s;

/// Body that names a group's new primary and term, in bytes.
constexpr std::size_t primary_body_bytes = 24;

/// The peers of one core, all played by one object.
class synthetic_peers {
public:
    synthetic_peers(const gossip_load& load, std::uint64_t seed)
        : m_load{load}, m_random{seed}, m_self{record_of(0)}, m_core{m_settings,
                                                                     m_self,
                                                                     {address_of(load.members)},
                                                                     random_source{seed + 1}}
    {
    }

    void join()
    {
        give(tick{});
        snapshot_chunk all{{snapshot_stage::complete, {}, {}}, {}};
        for (std::uint32_t number = 1; number < m_load.members; ++number) {
            all.news.emplace_back(record_of(number));
        }
        for (std::uint32_t group = 0; group < m_load.groups; ++group) {
            all.news.emplace_back(primary_of(group, 1));
        }
        give(message_received{address_of(m_load.members), all});
    }

    gossip_cost run()
    {
        const double heap_before = static_cast<double>(heap_bytes());
        join();
        gossip_cost cost;
        cost.state_bytes = static_cast<double>(heap_bytes()) - heap_before + sizeof(m_core);
        schedule_peers();
        const traffic start = m_core.counters();
        namespace acc = boost::accumulators;
        acc::accumulator_set<double, acc::stats<acc::tag::max>> peak;
        for (int second = 0; second < static_cast<int>(m_load.seconds); ++second) {
            const std::uint64_t before = m_core.counters().bytes_out;
            m_queue.run_until(m_queue.now() + 1s);
            peak(static_cast<double>(m_core.counters().bytes_out - before));
        }
        const traffic end = m_core.counters();
        const auto rate = [this](std::uint64_t last, std::uint64_t first) {
            return static_cast<double>(last - first) / m_load.seconds;
        };
        cost.messages_in = rate(end.messages_in, start.messages_in);
        cost.messages_out = rate(end.messages_out, start.messages_out);
        cost.bytes_in = rate(end.bytes_in, start.bytes_in);
        cost.bytes_out = rate(end.bytes_out, start.bytes_out);
        cost.peak_bytes_out = acc::max(peak);
        cost.core_percent = 100 * m_core_seconds / m_load.seconds;
        return cost;
    }

private:
    struct current_rumour {
        rumour news;
        time_point since;
    };

    member_record record_of(std::uint32_t number)
    {
        const domain_id domain{static_cast<std::uint16_t>(number % m_load.domains)};
        return {address_of(number), domain, daemon_id{number}, m_incarnations[number],
                member_status::alive};
    }

    static payload primary_of(std::uint32_t group, std::uint64_t version)
    {
        return {"primary/" + std::to_string(group), version, payload_retention::latest,
                std::string(primary_body_bytes, 'p')};
    }

    void give(const event& input)
    {
        const double before = processor_seconds();
        const actions todo = m_core.step(input, m_queue.now());
        m_core_seconds += processor_seconds() - before;
        for (const action& item : todo) {
            if (const auto* sent = std::get_if<send_message>(&item)) {
                answer(*sent);
            }
        }
        schedule_tick();
    }

    void schedule_tick()
    {
        const time_point due = std::max(m_core.next_wakeup(), m_queue.now());
        if (m_wakeup && *m_wakeup <= due) {
            return;
        }
        m_wakeup = due;
        m_queue.after(due - m_queue.now(), [this, due] {
            if (m_wakeup == due) {
                m_wakeup.reset();
                give(tick{});
            }
        });
    }

    void answer(const send_message& sent)
    {
        if (const auto* question = std::get_if<ping>(&sent.content)) {
            m_queue.after(2ms, [this, from = sent.to, sequence = question->sequence] {
                give(message_received{from, ack{sequence, digest(), current_news()}});
            });
        }
    }

    /// Peers agree with the core but for the time in which a rumour spreads.
    std::uint32_t digest()
    {
        const bool spreading =
            !m_current.empty() && m_queue.now() - m_current.back().since < spread_time;
        return spreading ? ~m_core.digest() : m_core.digest();
    }

    endpoint random_peer()
    {
        return address_of(1 + static_cast<std::uint32_t>(m_random.below(m_load.members - 1)));
    }

    rumours current_news()
    {
        while (!m_current.empty() && m_queue.now() - m_current.front().since > spread_time) {
            m_current.pop_front();
        }
        rumours news;
        std::size_t room = m_settings.news_bytes;
        for (const current_rumour& item : m_current) {
            const std::size_t bytes = encoded_size(item.news);
            if (bytes <= room) {
                room -= bytes;
                news.push_back(item.news);
            }
        }
        return news;
    }

    void schedule_peers()
    {
        repeat(1.0, [this] {
            give(message_received{random_peer(), ping{m_sequence++, digest(), {}}});
        });
        repeat(m_load.config_changes_per_day / seconds_per_day, [this] {
            happen(payload{"config/head", ++m_config, payload_retention::latest,
                           std::string(config_body_bytes, 'c')});
        });
        repeat(m_load.primary_changes_per_day / seconds_per_day, [this] {
            const auto group = static_cast<std::uint32_t>(m_random.below(m_load.groups));
            happen(primary_of(group, ++m_primary));
        });
        repeat(m_load.member_changes_per_day / seconds_per_day, [this] {
            const auto number = 1 + static_cast<std::uint32_t>(m_random.below(m_load.members - 1));
            m_incarnations[number] += 1;
            happen(record_of(number));
        });
    }

    /// Runs \p work at random times, \p rate times a second on average.
    void repeat(double rate, const std::function<void()>& work)
    {
        if (rate <= 0) {
            return;
        }
        const auto mean = duration{static_cast<duration::rep>(1e6 / rate)};
        m_queue.after(m_random.exponential(mean), [this, rate, work] {
            work();
            repeat(rate, work);
        });
    }

    /// Something has changed in the fleet: the core hears of it from several peers.
    void happen(const rumour& news)
    {
        m_current.push_back({news, m_queue.now()});
        for (std::uint32_t copy = 0; copy < m_settings.push_fanout; ++copy) {
            m_queue.after(m_random.between(50ms, 500ms), [this, news] {
                give(message_received{random_peer(), gossip{{news}}});
            });
        }
    }

    gossip_settings m_settings;
    gossip_load m_load;
    random_source m_random;
    std::map<std::uint32_t, std::uint64_t> m_incarnations;
    member_record m_self;
    gossip_member m_core;
    sim::event_queue m_queue;
    std::deque<current_rumour> m_current;
    std::optional<time_point> m_wakeup;
    std::uint32_t m_sequence{0};
    std::uint64_t m_config{0};
    std::uint64_t m_primary{1};
    double m_core_seconds{0};
};

} // namespace

gossip_cost run_gossip_load(const gossip_load& load, std::uint64_t seed)
{
    return synthetic_peers{load, seed}.run();
}

} // namespace gypsumstep::experiments
