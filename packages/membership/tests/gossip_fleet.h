// Many membership cores joined by the lossy network of the random runs.
#pragma once

#include "gypsumstep/membership/gossip_member.h"
#include "gypsumstep/sim/network.h"

#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace gypsumstep::membership::test {

/// The address of the daemon with this number.
inline endpoint address_of(std::uint32_t number)
{
    return {0x0A000000U + number, 7400};
}

/// Runs the cores of one fleet; member \p n lies in failure domain n % domains.
class gossip_fleet {
public:
    using observer = std::function<void(std::uint32_t member, const action&)>;

    gossip_fleet(std::uint64_t seed, std::uint16_t domains, sim::link_conditions conditions,
                 gossip_settings settings = {})
        : m_random{seed}, m_domains{domains}, m_settings{settings}, m_network{m_queue, m_random,
                                                                              conditions}
    {
    }

    void start(std::uint32_t number, std::uint64_t incarnation, std::vector<endpoint> seeds)
    {
        const domain_id domain{static_cast<std::uint16_t>(number % m_domains)};
        const member_record self{address_of(number), domain, daemon_id{m_random.below(1U << 30U)},
                                 incarnation, member_status::alive};
        auto& slot = m_slots[number];
        slot.core = std::make_unique<gossip_member>(m_settings, self, std::move(seeds),
                                                    random_source{m_random.below(1U << 30U)});
        slot.life += 1;
        give(number, tick{});
    }

    /// Starts members 0 to count - 1 that know each other already.
    void start_joined(std::uint32_t count)
    {
        const endpoint introducer = address_of(introducer_number);
        for (std::uint32_t number = 0; number < count; ++number) {
            start(number, 1, {introducer});
        }
        snapshot_chunk all{{snapshot_stage::complete, {}, {}}, {}};
        for (const auto& [number, slot] : m_slots) {
            all.news.emplace_back(slot.core->self());
        }
        for (const auto& [number, slot] : m_slots) {
            give(number, message_received{introducer, all});
        }
    }

    void kill(std::uint32_t number)
    {
        m_slots[number].core.reset();
        m_slots[number].life += 1;
    }

    void give(std::uint32_t number, const event& input)
    {
        instance& target = m_slots[number];
        if (target.core == nullptr) {
            return;
        }
        for (const action& item : target.core->step(input, now())) {
            carry_out(number, item);
        }
        schedule_tick(number);
    }

    void run_for(duration span) { m_queue.run_until(now() + span); }

    /// Cuts the members that \p inside selects off from all others.
    void partition(const std::function<bool(std::uint32_t)>& inside)
    {
        for (const auto& [left, left_slot] : m_slots) {
            for (const auto& [right, right_slot] : m_slots) {
                if (inside(left) != inside(right)) {
                    m_network.cut(left, right);
                }
            }
        }
    }

    [[nodiscard]] bool alive(std::uint32_t number) const
    {
        return m_slots.at(number).core != nullptr;
    }
    [[nodiscard]] const gossip_member& core(std::uint32_t number) const
    {
        return *m_slots.at(number).core;
    }
    [[nodiscard]] time_point now() const { return m_queue.now(); }
    [[nodiscard]] sim::network& network() { return m_network; }
    void observe(observer watch) { m_observer = std::move(watch); }

    /// Status of \p subject in the table of \p viewer; nothing if it is unknown there.
    [[nodiscard]] std::optional<member_status> status(std::uint32_t viewer,
                                                      std::uint32_t subject) const
    {
        const auto view = core(viewer).find(address_of(subject));
        return view ? std::optional{view->record.status} : std::nullopt;
    }

    /// Number of running members for which \p check holds.
    [[nodiscard]] std::uint32_t count(const std::function<bool(const gossip_member&)>& check) const
    {
        std::uint32_t total = 0;
        for (const auto& [number, slot] : m_slots) {
            total += slot.core != nullptr && check(*slot.core) ? 1 : 0;
        }
        return total;
    }

private:
    /// Stands for a peer that hands out the whole table at once.
    static constexpr std::uint32_t introducer_number = 0x00FFFFFF;

    struct instance {
        std::unique_ptr<gossip_member> core;
        std::uint32_t life{0};
        std::optional<time_point> wakeup;
    };

    void carry_out(std::uint32_t number, const action& item)
    {
        if (m_observer) {
            m_observer(number, item);
        }
        if (const auto* sent = std::get_if<send_message>(&item)) {
            const std::uint32_t to = sent->to.ip - address_of(0).ip;
            m_network.send(number, to, [this, number, to, content = sent->content] {
                if (m_slots.contains(to)) {
                    give(to, message_received{address_of(number), content});
                }
            });
        }
    }

    void schedule_tick(std::uint32_t number)
    {
        instance& target = m_slots[number];
        const time_point due = target.core->next_wakeup();
        if (target.wakeup && *target.wakeup <= due && *target.wakeup > now()) {
            return;
        }
        target.wakeup = due;
        m_queue.after(due - now(), [this, number, life = target.life, due] {
            if (m_slots[number].life == life && m_slots[number].wakeup == due) {
                give(number, tick{});
            }
        });
    }

    sim::event_queue m_queue;
    random_source m_random;
    std::uint16_t m_domains;
    gossip_settings m_settings;
    sim::network m_network;
    std::map<std::uint32_t, instance> m_slots;
    observer m_observer;
};

} // namespace gypsumstep::membership::test
