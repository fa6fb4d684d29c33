// Tests of the share ledger, and random runs of several ledgers against servers.
#include "gypsumstep/homes/home_map.h"
#include "gypsumstep/homes/share_ledger.h"
#include "gypsumstep/sim/event_queue.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <vector>

using namespace gypsumstep;
using namespace gypsumstep::homes;

namespace {

constexpr std::uint32_t daemon_count = 6;
constexpr std::uint32_t server_count = 4;

/// A server that refuses connections beyond its limit.
struct fake_server {
    server_limits limits;
    std::map<std::uint64_t, std::uint32_t> open;    ///< by run of the daemon
    std::map<std::uint64_t, std::uint32_t> running; ///< by run of the daemon

    static std::uint32_t total(const std::map<std::uint64_t, std::uint32_t>& counts)
    {
        std::uint32_t sum = 0;
        for (const auto& [run, count] : counts) {
            sum += count;
        }
        return sum;
    }
};

/// Daemons with their own views of each other, over unreliable messages.
class ledger_run {
public:
    explicit ledger_run(std::uint64_t seed) : m_random{seed}
    {
        fleet::document document;
        document.domains.push_back({domain_id{0}, "a", "r"});
        for (std::uint32_t id = 0; id < server_count; ++id) {
            fleet::server item;
            item.id = server_id{id};
            item.slots = static_cast<std::uint32_t>(1 + m_random.below(6));
            item.connections = item.slots + static_cast<std::uint32_t>(m_random.below(40));
            document.servers.push_back(item);
            m_servers.push_back({{item.connections, item.slots}, {}, {}});
        }
        m_daemons.resize(daemon_count);
        for (std::uint32_t number = 0; number < daemon_count; ++number) {
            m_daemons[number].map = std::make_unique<home_map>(document);
        }
        m_document = document;
    }

    void start(std::uint32_t number)
    {
        daemon& self = m_daemons[number];
        self.run = ++m_runs;
        self.ledger.emplace(ledger_settings{}, random_source{m_runs});
        self.map = std::make_unique<home_map>(m_document);
        self.cut = false;
        for (std::uint32_t other = 0; other < daemon_count; ++other) {
            if (m_daemons[other].ledger) {
                self.map->add(address(other), domain_id{0});
                learn_later(other, number, true);
            }
        }
        for (std::uint32_t id = 0; id < server_count; ++id) {
            update_duty(number, server_id{id});
        }
    }

    void kill(std::uint32_t number)
    {
        m_daemons[number].ledger.reset();
        reap_later(number);
        for (std::uint32_t other = 0; other < daemon_count; ++other) {
            learn_later(other, number, false);
        }
    }

    /// Cuts a daemon off from the servers until heal().
    void cut(std::uint32_t number)
    {
        m_daemons[number].cut = true;
        reap_later(number);
    }

    void heal(std::uint32_t number)
    {
        daemon& self = m_daemons[number];
        self.cut = false;
        for (std::uint32_t id = 0; id < server_count; ++id) {
            const server_id server{id};
            while (self.ledger && self.ledger->share(server).running > 0 && !open_at(number, id)) {
                give(number, statement_finished{server});
            }
            while (self.ledger && self.ledger->share(server).held > 0 && !open_at(number, id)) {
                give(number, connection_lost{server});
            }
        }
    }

    /// Starts statements wherever the ledgers allow it.
    void load()
    {
        for (std::uint32_t number = 0; number < daemon_count; ++number) {
            daemon& self = m_daemons[number];
            for (std::uint32_t id = 0; id < server_count; ++id) {
                while (self.ledger && !self.cut && self.ledger->start_statement(server_id{id})) {
                    m_servers[id].running[self.run] += 1;
                    check(id);
                    m_queue.after(m_random.between(1ms, 400ms),
                                  [this, number, id, run = self.run] { finish(number, id, run); });
                }
            }
        }
        m_queue.after(20ms, [this] { load(); });
    }

    void run_for(duration span) { m_queue.run_until(m_queue.now() + span); }

    [[nodiscard]] bool alive(std::uint32_t number) const
    {
        return m_daemons[number].ledger.has_value();
    }
    [[nodiscard]] bool is_cut(std::uint32_t number) const { return m_daemons[number].cut; }

    /// True if every connection of every server is in use as planned.
    [[nodiscard]] bool fully_assigned() const
    {
        return std::ranges::all_of(m_servers, [](const fake_server& item) {
            return fake_server::total(item.open) == item.limits.connections;
        });
    }

    random_source& random() { return m_random; }

private:
    struct daemon {
        std::uint64_t run{0};
        std::optional<share_ledger> ledger;
        std::unique_ptr<home_map> map;
        bool cut{false};
    };

    static endpoint address(std::uint32_t number) { return {0x0A000000U + number, 7400}; }

    bool open_at(std::uint32_t number, std::uint32_t id) const
    {
        return m_servers[id].open.contains(m_daemons[number].run);
    }

    /// The invariants, checked after each change at a server.
    void check(std::uint32_t id) const
    {
        const fake_server& item = m_servers[id];
        REQUIRE(fake_server::total(item.open) <= item.limits.connections);
        REQUIRE(fake_server::total(item.running) <= item.limits.slots);
    }

    /// Views disagree: each daemon learns of each change after its own delay.
    void learn_later(std::uint32_t learner, std::uint32_t subject, bool lives)
    {
        m_queue.after(m_random.between(0s, 10s), [this, learner, subject, lives] {
            daemon& self = m_daemons[learner];
            if (!self.ledger || learner == subject || alive(subject) != lives) {
                return;
            }
            const auto changed = lives ? self.map->add(address(subject), domain_id{0})
                                       : self.map->remove(address(subject));
            for (const server_id server : changed) {
                update_duty(learner, server);
            }
        });
    }

    void update_duty(std::uint32_t number, server_id server)
    {
        const server_homes homes = m_daemons[number].map->homes_of(server);
        duty_changed input{server, home_duty::none, homes.first, m_servers[server.value()].limits};
        if (homes.first == address(number)) {
            input.duty = homes.second ? home_duty::first : home_duty::sole;
            input.other = homes.second;
        }
        else if (homes.second == address(number)) {
            input.duty = home_duty::second;
        }
        give(number, input);
    }

    void give(std::uint32_t number, const ledger_event& input)
    {
        daemon& self = m_daemons[number];
        if (!self.ledger) {
            return;
        }
        for (const ledger_action& item : self.ledger->step(input, m_queue.now())) {
            std::visit([&](const auto& kind) { carry_out(number, kind); }, item);
        }
        if (const auto due = self.ledger->next_wakeup()) {
            m_queue.after(*due - m_queue.now(), [this, number, run = self.run] {
                if (m_daemons[number].run == run) {
                    give(number, ledger_tick{});
                }
            });
        }
    }

    void carry_out(std::uint32_t number, const open_connection& item)
    {
        const std::uint32_t id = item.server.value();
        m_queue.after(m_random.between(5ms, 30ms), [this, number, id, run = m_daemons[number].run] {
            daemon& self = m_daemons[number];
            if (self.run != run || !self.ledger) {
                return;
            }
            fake_server& target = m_servers[id];
            auto outcome = connect_outcome::failed;
            if (!self.cut) {
                const bool room = fake_server::total(target.open) < target.limits.connections;
                outcome = room ? connect_outcome::opened : connect_outcome::refused;
                if (room) {
                    target.open[run] += 1;
                }
                check(id);
            }
            m_queue.after(m_random.between(1ms, 5ms), [this, number, id, run, outcome] {
                if (m_daemons[number].run == run) {
                    give(number, connect_finished{server_id{id}, outcome});
                }
            });
        });
    }

    void carry_out(std::uint32_t number, const close_connection& item)
    {
        const std::uint32_t id = item.server.value();
        m_queue.after(m_random.between(1ms, 5ms), [this, id, run = m_daemons[number].run] {
            const auto found = m_servers[id].open.find(run);
            if (found != m_servers[id].open.end() && --found->second == 0) {
                m_servers[id].open.erase(found);
            }
        });
    }

    void carry_out(std::uint32_t /*number*/, const send_release& item)
    {
        if (m_random.chance(0.3)) {
            return;
        }
        const std::uint32_t to = item.to.ip - address(0).ip;
        m_queue.after(m_random.between(1ms, 50ms),
                      [this, to, server = item.server] { give(to, release_received{server}); });
    }

    void finish(std::uint32_t number, std::uint32_t id, std::uint64_t run)
    {
        const auto found = m_servers[id].running.find(run);
        if (found == m_servers[id].running.end() || m_daemons[number].cut) {
            return;
        }
        if (--found->second == 0) {
            m_servers[id].running.erase(found);
        }
        if (m_daemons[number].run == run) {
            give(number, statement_finished{server_id{id}});
        }
    }

    /// The servers notice after a while that a daemon is dead or cut off.
    void reap_later(std::uint32_t number)
    {
        const std::uint64_t run = m_daemons[number].run;
        m_queue.after(m_random.between(0s, 6s), [this, number, run] {
            const daemon& self = m_daemons[number];
            if (self.run == run && self.ledger && !self.cut) {
                return;
            }
            for (fake_server& item : m_servers) {
                item.open.erase(run);
                item.running.erase(run);
            }
        });
    }

    sim::event_queue m_queue;
    random_source m_random;
    fleet::document m_document;
    std::vector<fake_server> m_servers;
    std::vector<daemon> m_daemons;
    std::uint64_t m_runs{0};
};

} // namespace

TEST_CASE("two homes divide every server's connections and slots without excess")
{
    for (std::uint32_t slots = 1; slots <= 30; ++slots) {
        for (std::uint32_t connections = slots; connections <= 120; ++connections) {
            const server_limits limits{connections, slots};
            const auto first = planned_connections(limits, home_duty::first);
            const auto second = planned_connections(limits, home_duty::second);
            CHECK(first + second == connections);
            CHECK(slots_for(limits, connections) <= slots);
            CHECK(slots_for(limits, first) + slots_for(limits, second) ==
                  slots_for(limits, connections));
        }
    }
    // The users' servers lose no slot to the division.
    CHECK(slots_for({30, 5}, 30) == 5);
    CHECK(slots_for({40, 3}, 40) == 3);
}

TEST_CASE("a home opens few connections at a time and knocks less after refusals")
{
    share_ledger ledger{{}, random_source{1}};
    const server_id server{0};
    auto out = ledger.step(duty_changed{server, home_duty::sole, {}, {30, 5}}, time_point{});
    CHECK(out.size() == 2);
    out = ledger.step(connect_finished{server, connect_outcome::refused}, time_point{});
    CHECK(out.empty());
    CHECK(ledger.slots(server) == 0);
    const auto retry = ledger.next_wakeup();
    REQUIRE(retry.has_value());
    CHECK(*retry > time_point{});
    // A release by the other home ends the wait at once.
    CHECK(ledger.step(connect_finished{server, connect_outcome::refused}, time_point{}).empty());
    CHECK(ledger.step(release_received{server}, time_point{}).size() == 2);
}

TEST_CASE("a home that hands back keeps the slot of a running statement until it ends")
{
    share_ledger ledger{{}, random_source{1}};
    const server_id server{0};
    const endpoint other{1, 1};
    const server_limits limits{12, 5};
    static_cast<void>(ledger.step(duty_changed{server, home_duty::sole, {}, limits}, {}));
    for (int opened = 0; opened < 12; ++opened) {
        static_cast<void>(ledger.step(connect_finished{server, connect_outcome::opened}, {}));
    }
    int running = 0;
    while (ledger.start_statement(server)) {
        running += 1;
    }
    CHECK(running == 4);
    auto out = ledger.step(duty_changed{server, home_duty::none, other, limits}, {});
    CHECK(out.empty());
    for (; running > 0; --running) {
        CHECK(ledger.share(server).held >= 3U * static_cast<std::uint32_t>(running));
        out = ledger.step(statement_finished{server}, {});
    }
    CHECK(ledger.share(server) == server_share{});
    REQUIRE_FALSE(out.empty());
    CHECK(out.back() == ledger_action{send_release{server, other}});
}

TEST_CASE("no server is over its limits while views disagree, and all is assigned again")
{
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        ledger_run run{seed};
        for (std::uint32_t number = 0; number < daemon_count; ++number) {
            run.start(number);
        }
        run.load();
        for (int round = 0; round < 12; ++round) {
            const auto number =
                static_cast<std::uint32_t>(1 + run.random().below(daemon_count - 1));
            if (!run.alive(number)) {
                run.start(number);
            }
            else if (run.is_cut(number)) {
                run.heal(number);
            }
            else if (run.random().chance(0.5)) {
                run.kill(number);
            }
            else {
                run.cut(number);
            }
            run.run_for(run.random().between(100ms, 8s));
        }
        for (std::uint32_t number = 0; number < daemon_count; ++number) {
            if (run.is_cut(number) && run.alive(number)) {
                run.run_for(7s);
                run.heal(number);
            }
        }
        // Views agree after 10 s, servers notice within 6 s, back-off is at most 2 s.
        run.run_for(20s);
        REQUIRE(run.fully_assigned());
    }
}
