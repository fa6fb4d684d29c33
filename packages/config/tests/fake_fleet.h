/// \file
/// Simulates the followers of a fleet on one seeded event queue, with message loss and
/// a network partition of one failure domain.
#pragma once

#include "fake_platform.h"
#include "gypsumstep/config/follower.h"
#include "gypsumstep/sim/network.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace gypsumstep::config::fake {

/// Bytes of TCP, IP, websocket and envelope headers around a message.
constexpr std::uint64_t message_overhead = 80;
constexpr duration tick_period{200'000};

/// The followers, and when each version came into force in each of them.
class fleet {
public:
    fleet(std::size_t count, std::uint16_t domains, std::uint64_t seed, double loss)
        : m_random{seed}, m_platform{m_queue, seed + 1},
          m_network{m_queue, m_random, {500us, 25ms, loss, loss / 5}}, m_domains{domains}
    {
        std::vector<member> members;
        for (std::size_t i = 0; i < count; ++i) {
            const auto domain = static_cast<std::uint16_t>(i % domains);
            members.push_back({daemon_id{i}, domain_id{domain}});
        }
        for (const auto& self : members) {
            m_followers.emplace_back(follower_options{}, self,
                                     random_source{hash_combine(seed, self.id.value())});
            run(self.id.value(), m_followers.back().step(members_changed{members}, m_queue.now()));
        }
        m_bytes.resize(count);
        m_versions.resize(count);
        for (std::size_t i = 0; i < count; ++i) {
            m_queue.after(m_random.between(duration{0}, tick_period),
                          [this, i] { tick_forever(i); });
        }
    }

    /// Commits a patch on the platform; the daemon \p submitter gets the event accepted_locally.
    void change(const json& content, std::optional<std::size_t> submitter)
    {
        const patch change{"p" + std::to_string(m_accepted + 1),
                           config_version{m_accepted},
                           patch_kind::merge,
                           content,
                           "ane",
                           "load test of the spread",
                           0};
        auto job = std::make_shared<submission>(
            change, [](const json&) { return findings{}; }, submission_options{}, random_source{1});
        bool done = false;
        const bool was_down = std::exchange(m_platform.conditions.down, false);
        submit(m_queue, m_platform, job, job->start(m_queue.now()),
               [&](const submission_outcome& outcome) {
                   done = true;
                   m_accepted = outcome.version.value();
                   m_accepted_at[m_accepted] = m_queue.now();
                   if (submitter) {
                       step(*submitter, accepted_locally{*outcome.change});
                   }
               });
        while (!done) {
            m_queue.step();
        }
        m_platform.conditions.down = was_down;
    }

    /// Starts or ends a network partition that separates domain 0 from the other domains
    /// and from the platform.
    void set_partitioned(bool partitioned)
    {
        if (partitioned) {
            m_healed_at.reset();
        }
        else if (m_partitioned) {
            m_healed_at = m_queue.now();
        }
        m_partitioned = partitioned;
    }

    void run_for(duration time) { m_queue.run_until(m_queue.now() + time); }

    /// Sorted times that the followers took to reach \p version. For domain 0 the time
    /// counts from the end of the partition if that is later.
    [[nodiscard]] std::vector<duration> times(std::uint64_t version) const
    {
        std::vector<duration> all;
        for (std::size_t i = 0; i < m_versions.size(); ++i) {
            auto start = m_accepted_at.at(version);
            if (i % m_domains == 0 && m_healed_at) {
                start = std::max(start, *m_healed_at);
            }
            const auto reached = m_versions[i].lower_bound(version);
            all.push_back(reached == m_versions[i].end()
                              ? duration::max()
                              : std::max(duration{0}, reached->second - start));
        }
        std::ranges::sort(all);
        return all;
    }

    [[nodiscard]] const std::vector<std::uint64_t>& bytes() const { return m_bytes; }
    [[nodiscard]] std::vector<follower>& followers() { return m_followers; }
    [[nodiscard]] platform& store() { return m_platform; }
    [[nodiscard]] time_point now() const { return m_queue.now(); }
    [[nodiscard]] std::uint64_t version_decreases() const { return m_version_decreases; }

private:
    void tick_forever(std::size_t index)
    {
        step(index, tick{});
        m_queue.after(tick_period, [this, index] { tick_forever(index); });
    }

    void step(std::size_t index, const follower_event& event)
    {
        run(index, m_followers[index].step(event, m_queue.now()));
    }

    void run(std::size_t index, const follower::actions& actions)
    {
        for (const auto& action : actions) {
            std::visit([&](const auto& content) { perform(index, content); }, action);
        }
    }

    void perform(std::size_t index, const poll_head&)
    {
        ask(index, read_row{head_key}, [this, index](const submission_event& event) {
            const auto* answer = std::get_if<row_answer>(&event);
            if (!answer->row) {
                step(index, head_answer{answer->row.error()});
            }
            else if (answer->row.value().version == 0) {
                step(index, head_answer{std::optional<head_record>{}});
            }
            else {
                const auto head = parse_head(answer->row.value().value).value();
                step(index, head_answer{std::optional{head}});
            }
        });
    }

    void perform(std::size_t index, const fetch_change& action)
    {
        ask(index, read_row{history_key(action.version)},
            [this, index](const submission_event& event) {
                const auto* answer = std::get_if<row_answer>(&event);
                step(index, answer->row ? change_answer{parse_change(answer->row.value().value)}
                                        : change_answer{answer->row.error()});
            });
    }

    void perform(std::size_t index, const fetch_document& action)
    {
        ask(index, read_object{action.head.object},
            [this, index, head = action.head](const submission_event& event) {
                const auto* answer = std::get_if<object_answer>(&event);
                if (!answer->bytes) {
                    step(index, document_answer{head, answer->bytes.error()});
                    return;
                }
                const auto document =
                    std::make_shared<const json>(json::parse(answer->bytes.value()));
                step(index, document_answer{head, document_ptr{document}});
            });
    }

    void perform(std::size_t index, const send_message& action)
    {
        const auto to = static_cast<std::size_t>(action.to.value());
        const std::string body = encode(action.content);
        m_bytes[index] += body.size() + message_overhead;
        if (is_partitioned(index) != is_partitioned(to)) {
            return;
        }
        m_network.send(static_cast<std::uint32_t>(index), static_cast<std::uint32_t>(to),
                       [this, index, to, body] {
                           step(to, peer_message{daemon_id{index}, decode_message(body).value()});
                       });
    }

    void perform(std::size_t index, const put_in_force& action)
    {
        auto& versions = m_versions[index];
        const std::uint64_t version = action.head.version.value();
        m_version_decreases += !versions.empty() && versions.rbegin()->first >= version ? 1 : 0;
        versions.insert({version, m_queue.now()});
    }

    void ask(std::size_t index, const submission_action& action, const platform::handler& done)
    {
        platform_conditions conditions = m_platform.conditions;
        if (is_partitioned(index)) {
            m_platform.conditions.request_loss = 1.0;
        }
        m_platform.run(action, done);
        m_platform.conditions = conditions;
    }

    [[nodiscard]] bool is_partitioned(std::size_t index) const
    {
        return m_partitioned && index % m_domains == 0;
    }

    sim::event_queue m_queue;
    random_source m_random;
    platform m_platform;
    sim::network m_network;
    std::uint16_t m_domains;
    std::vector<follower> m_followers;
    std::vector<std::uint64_t> m_bytes;
    std::vector<std::map<std::uint64_t, time_point>> m_versions;
    std::map<std::uint64_t, time_point> m_accepted_at;
    std::uint64_t m_accepted{0};
    std::uint64_t m_version_decreases{0};
    bool m_partitioned{false};
    std::optional<time_point> m_healed_at;
};

} // namespace gypsumstep::config::fake
