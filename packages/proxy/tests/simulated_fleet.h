/// \file
/// Several proxies in virtual time between simulated servers, a store and the platform's
/// promotions. Links between any two of them can be cut, and daemons suspended.
///
/// By default the platform does not stop an old primary: it goes on until it is demoted, or for a
/// second after it can reach the new one.
#pragma once

#include "gypsumstep/proxy/proxy.h"
#include "gypsumstep/sim/event_queue.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gypsumstep::proxy::test {

/// What the platform, the store and the servers do.
struct fleet_rules {
    /// The platform refuses old tokens, and a promotion ends the lead of the old primary at once.
    bool old_primary_stops{false};
    /// Replicas that must hold a commit before it is acknowledged. Each replica then falls behind
    /// by a random time of its own.
    std::uint32_t sync_replicas{0};
    double late_orders{0.0};  ///< share of the orders that get no answer and are carried out late
    double late_claims{0.0};  ///< the same for writes of claims
    double lost_resumes{0.0}; ///< share of the commands to receive the log again that are lost

    friend bool operator==(const fleet_rules&, const fleet_rules&) = default;
};

/// Events are callbacks in a queue. Names identify daemons ("d0"), servers ("s0") and the store.
class simulated_fleet {
public:
    static constexpr const char* service = "ledger";
    static constexpr const char* store_name = "store";
    static constexpr duration latency = 3ms;
    static constexpr duration promotion_time = 600ms;
    static constexpr duration registration_lifetime = 3600ms;
    static constexpr duration listing_interval = 1s;
    static constexpr duration urgent_listing_interval = 300ms;
    static constexpr duration shortest_late_call = 2s;
    static constexpr duration longest_late_call = 12s;
    static constexpr duration call_timeout = 1s;

    /// A commit in a server's log.
    struct commit {
        std::uint64_t id{0};
        term written_in;
        time_point acknowledged_at{time_point::max()}; ///< when a client was told of it

        friend bool operator==(const commit&, const commit&) = default;
    };

    struct server {
        std::string name;
        bool running{true};
        bool is_primary{false};
        bool draining{false};
        bool unlisted{false}; ///< its registrations do not reach the store
        bool paused{false};   ///< receives no log entries
        term known_term{1};
        std::vector<std::uint64_t> log;
        time_point registered_at{};
        std::optional<time_point> sees_new_primary_since;
    };

    explicit simulated_fleet(std::size_t daemons, std::uint64_t seed, std::size_t servers = 3,
                             const fleet_rules& rules = {})
        : m_rules{rules}, m_random{seed}
    {
        m_queue.run_until(time_point{100s});
        for (std::size_t index = 0; index < servers; ++index) {
            server made;
            made.name = "s" + std::to_string(index);
            made.is_primary = index == 0;
            made.registered_at = now();
            m_servers.emplace(made.name, std::move(made));
        }
        for (std::size_t index = 0; index < daemons; ++index) {
            m_daemon_names.push_back("d" + std::to_string(index));
        }
        for (const std::string& name : m_daemon_names) {
            start_daemon(name);
        }
        run_servers();
    }

    [[nodiscard]] time_point now() const { return m_queue.now(); }
    void run(duration time) { m_queue.run_until(now() + time); }

    server& server_of(const std::string& name) { return m_servers.at(name); }

    void cut(const std::string& left, const std::string& right)
    {
        m_cuts.insert({left, right});
        m_cuts.insert({right, left});
    }

    void heal_all() { m_cuts.clear(); }

    void suspend(const std::string& name, duration time) { m_suspended_until[name] = now() + time; }

    void kill_daemon(const std::string& name) { m_daemons.erase(name); }

    void set_late_orders(double share) { m_rules.late_orders = share; }

    /// Cuts a server off from all others, the daemons and the store.
    void isolate(const std::string& server_name)
    {
        cut(server_name, store_name);
        for (const auto& [other, member] : m_servers) {
            cut(server_name, other);
        }
        for (const std::string& name : m_daemon_names) {
            cut(server_name, name);
        }
    }

    /// Whether no replica is paused and nothing is left of earlier promotions.
    [[nodiscard]] bool is_settled() const
    {
        return (!claim || claim->is_settled()) &&
               std::none_of(m_servers.begin(), m_servers.end(),
                            [](const auto& member) { return member.second.paused; });
    }

    void start_daemon(const std::string& name)
    {
        if (std::find(m_daemon_names.begin(), m_daemon_names.end(), name) == m_daemon_names.end()) {
            m_daemon_names.push_back(name);
        }
        options chosen;
        chosen.daemon = name;
        chosen.domain = "a";
        chosen.seed = m_random.below(UINT64_MAX);
        chosen.old_primary_stops = m_rules.old_primary_stops;
        auto made = std::make_unique<daemon>();
        made->subject = std::make_unique<proxy>(chosen);
        made->life = ++m_lives;
        m_daemons[name] = std::move(made);
        proxy& subject = *m_daemons[name]->subject;
        subject.on_configuration(configuration(m_rules.sync_replicas), now());
        list_daemons(name);
        const std::uint64_t life = m_daemons[name]->life;
        list_servers(name, life);
        tick(name, life);
        for (std::uint64_t client = 0; client < 2; ++client) {
            start_client(name, life, client);
        }
    }

    void crash_server(const std::string& name)
    {
        server_of(name).running = false;
        std::vector<server_connection_id> lost;
        for (auto& [daemon_name, member] : m_daemons) {
            std::vector<server_connection_id> ids;
            for (const auto& [id, connection] : member->connections) {
                if (connection.server == name) {
                    ids.push_back(id);
                }
            }
            for (const server_connection_id id : ids) {
                deliver_closed(daemon_name, member->life, id);
            }
        }
    }

    /// Starts a crashed server with its log, as a replica if another one was promoted.
    void restart_server(const std::string& name)
    {
        server& restarted = server_of(name);
        restarted.running = true;
        restarted.paused = false;
        restarted.is_primary = restarted.is_primary && newest_primary() == name;
    }

    /// The running server that leads in the newest term; empty if there is none.
    [[nodiscard]] std::string newest_primary() const
    {
        std::string newest;
        term newest_term{0};
        for (const auto& [name, candidate] : m_servers) {
            if (candidate.running && candidate.is_primary && candidate.known_term > newest_term) {
                newest = name;
                newest_term = candidate.known_term;
            }
        }
        return newest;
    }

    /// Commits acknowledged to clients after \p since.
    [[nodiscard]] std::size_t acknowledged_since(time_point since) const
    {
        return static_cast<std::size_t>(
            std::count_if(m_commits.begin(), m_commits.end(), [since](const auto& entry) {
                return entry.second.acknowledged_at >= since &&
                       entry.second.acknowledged_at != time_point::max();
            }));
    }

    std::vector<std::string> violations;
    std::size_t orders{0};
    std::size_t promotions{0};
    std::size_t lost_commits{0};    ///< acknowledged, then rolled back by a promotion
    duration order_delay{0};        ///< before the platform carries out an order
    std::function<void()> on_claim; ///< called when a claim was written
    std::string last_claimant;
    std::optional<promotion::claim> claim; ///< the row in the store
    bool store_down{false};

private:
    struct server_link {
        std::string server;
        bool in_transaction{false};
        bool wrote{false};
    };

    struct daemon {
        std::unique_ptr<proxy> subject;
        std::uint64_t life{0};
        std::map<server_connection_id, server_link> connections;
        std::map<session_id, std::function<void(const statement::answer&)>> waiting;
        bool draining_actions{false};
    };

    using event = std::function<void(daemon&)>;

    /// A commit whose answer waits for a replica.
    struct waiting_commit {
        std::string daemon;
        std::uint64_t life{0};
        server_connection_id connection;
        std::string server;
        std::uint64_t commit{0};
        statement::answer content;
    };

    [[nodiscard]] bool connected(const std::string& left, const std::string& right) const
    {
        return !m_cuts.contains({left, right});
    }

    /// Runs an event at a daemon after a delay, or when the daemon is no longer suspended. An
    /// earlier life of the daemon gets none.
    void at_daemon(const std::string& name, std::uint64_t life, duration delay, event run_event)
    {
        m_queue.after(delay, [this, name, life, run_event = std::move(run_event)]() mutable {
            const auto suspended = m_suspended_until.find(name);
            if (suspended != m_suspended_until.end() && suspended->second > now()) {
                at_daemon(name, life, suspended->second - now(), std::move(run_event));
                return;
            }
            const auto found = m_daemons.find(name);
            if (found == m_daemons.end() || found->second->life != life) {
                return;
            }
            run_event(*found->second);
            carry_out_actions(name);
        });
    }

    void tick(const std::string& name, std::uint64_t life)
    {
        at_daemon(name, life, 20ms, [this, name, life](daemon& member) {
            member.subject->on_tick(now());
            tick(name, life);
        });
    }

    /// A new daemon lists all others at once; they list it with their next reading.
    void list_daemons(const std::string& started)
    {
        const auto list = [this](daemon& member) {
            member.subject->set_daemons(m_daemon_names, {{service, m_daemon_names}});
        };
        list(*m_daemons.at(started));
        for (const auto& [name, member] : m_daemons) {
            at_daemon(name, member->life, 5s, list);
        }
    }

    static directory::configuration configuration(std::uint32_t sync_replicas)
    {
        directory::configuration made;
        made.version = config_version{1};
        directory::route route;
        route.database = "orders";
        route.service = service;
        route.read_consistency = directory::consistency::primary;
        route.statement_timeout = 1s;
        made.routes.push_back(route);
        made.services[service] = {100, sync_replicas};
        return made;
    }

    void list_servers(const std::string& name, std::uint64_t life)
    {
        at_daemon(name, life, latency, [this, name, life](daemon& member) {
            if (!store_down && connected(name, store_name)) {
                std::vector<directory::server_entry> listing;
                for (const auto& [key, listed] : m_servers) {
                    if (now() - listed.registered_at < registration_lifetime) {
                        listing.push_back(entry_of(listed));
                    }
                }
                member.subject->on_servers(listing, now());
            }
            const bool urgent = member.subject->server_listing_urgency() == listing_urgency::urgent;
            m_queue.after(urgent ? urgent_listing_interval : listing_interval,
                          [this, name, life] { list_servers(name, life); });
        });
    }

    static directory::server_entry entry_of(const server& listed)
    {
        directory::server_entry entry;
        entry.name = listed.name;
        entry.service = service;
        entry.host = listed.name;
        entry.port = 1;
        entry.domain = "a";
        entry.slots = 50;
        entry.draining = listed.draining;
        entry.role =
            listed.is_primary ? directory::server_role::primary : directory::server_role::replica;
        return entry;
    }

    /// Replication, registrations and the end of old primaries, every 50 ms.
    void run_servers()
    {
        m_queue.after(50ms, [this] {
            const std::string leader = log_source();
            for (auto& [name, member] : m_servers) {
                if (!member.running) {
                    continue;
                }
                if (!store_down && !member.unlisted && connected(name, store_name)) {
                    member.registered_at = now();
                }
                if (name == leader || leader.empty() || !connected(name, leader)) {
                    member.sees_new_primary_since.reset();
                    continue;
                }
                if (!member.is_primary) {
                    if (!member.paused && (m_rules.sync_replicas == 0 || m_random.chance(0.5))) {
                        replicate(m_servers.at(leader), member);
                    }
                    continue;
                }
                if (!member.sees_new_primary_since) {
                    member.sees_new_primary_since = now();
                }
                if (now() - *member.sees_new_primary_since >= 1s) {
                    member.is_primary = false;
                }
            }
            answer_received_commits();
            run_servers();
        });
    }

    /// The server whose log the replicas receive. One that was demoted still sends what it has.
    std::string log_source()
    {
        std::string leader = newest_primary();
        if (!leader.empty()) {
            m_last_primary = leader;
        }
        else if (m_rules.old_primary_stops && !m_last_primary.empty() &&
                 server_of(m_last_primary).running) {
            leader = m_last_primary;
        }
        return leader;
    }

    static void replicate(const server& source, server& replica)
    {
        const auto end = std::mismatch(replica.log.begin(), replica.log.end(), source.log.begin(),
                                       source.log.end());
        replica.log.erase(end.first, replica.log.end());
        replica.log.insert(replica.log.end(), end.second, source.log.end());
        replica.known_term = source.known_term;
    }

    void carry_out_actions(const std::string& name)
    {
        daemon& member = *m_daemons.at(name);
        if (member.draining_actions) {
            return;
        }
        member.draining_actions = true;
        for (auto next = member.subject->take_actions(); !next.empty();
             next = member.subject->take_actions()) {
            for (action& pending : next) {
                std::visit([&](auto& alternative) { carry_out(name, member, alternative); },
                           pending);
            }
        }
        member.draining_actions = false;
    }

    template <class T>
    void carry_out(const std::string& /*name*/, daemon& /*member*/, T& /*next*/)
    {
    }

    void carry_out(const std::string& /*name*/, daemon& member, send_answer& next)
    {
        const auto found = member.waiting.find(next.session);
        if (found != member.waiting.end()) {
            const auto on_answer = std::exchange(found->second, nullptr);
            member.waiting.erase(found);
            on_answer(next.content);
        }
    }

    void carry_out(const std::string& name, daemon& member, send_peer_message& next)
    {
        (void)member;
        const auto receiver = m_daemons.find(next.daemon);
        if (receiver == m_daemons.end() || !connected(name, next.daemon)) {
            return;
        }
        at_daemon(next.daemon, receiver->second->life, latency,
                  [this, content = next.content](daemon& target) {
                      target.subject->on_peer_message(content, now());
                  });
    }

    void carry_out(const std::string& name, daemon& member, read_claims& /*next*/)
    {
        if (store_down || !connected(name, store_name)) {
            at_daemon(name, member.life, 1s, [this](daemon& reader) {
                reader.subject->on_claims_read(std::nullopt, now());
            });
            return;
        }
        m_queue.after(latency, [this, name, life = member.life] {
            std::vector<promotion::claim_notice> claims;
            if (claim) {
                claims.push_back({service, claim->token, claim->target});
            }
            at_daemon(name, life, latency, [this, claims](daemon& reader) {
                reader.subject->on_claims_read(claims, now());
            });
        });
    }

    void carry_out(const std::string& name, daemon& member, open_server_connection& next)
    {
        member.connections[next.connection] = {next.server};
        const server& target = server_of(next.server);
        if (!connected(name, next.server)) {
            return;
        }
        if (!target.running) {
            deliver_closed(name, member.life, next.connection);
            return;
        }
        at_daemon(name, member.life, latency * 2, [this, id = next.connection](daemon& opener) {
            opener.subject->on_server_answer(id, {}, now());
        });
    }

    void carry_out(const std::string& /*name*/, daemon& member, close_server_connection& next)
    {
        member.connections.erase(next.connection);
    }

    void deliver_closed(const std::string& name, std::uint64_t life, server_connection_id id)
    {
        at_daemon(name, life, latency, [this, id](daemon& member) {
            if (member.connections.erase(id) > 0) {
                member.subject->on_server_connection_closed(id, "reset", now());
            }
        });
    }

    void carry_out(const std::string& name, daemon& member, send_command& next)
    {
        const auto found = member.connections.find(next.connection);
        if (found == member.connections.end() || !connected(name, found->second.server)) {
            return;
        }
        m_queue.after(latency, [this, name, life = member.life, id = next.connection,
                                command = next.command, sent_at = now()] {
            const auto sender = m_daemons.find(name);
            if (sender == m_daemons.end() || sender->second->life != life ||
                !sender->second->connections.contains(id)) {
                return;
            }
            run_command(name, *sender->second, id, command, sent_at);
        });
    }

    void run_command(const std::string& name, daemon& member, server_connection_id id,
                     const statement::server_command& command, time_point sent_at)
    {
        using statement::command_kind;
        server_link& link = member.connections.at(id);
        server& target = server_of(link.server);
        if (!target.running) {
            return;
        }
        if (command.kind == command_kind::status || command.kind == command_kind::demote ||
            command.kind == command_kind::pause || command.kind == command_kind::resume) {
            if (command.kind == command_kind::resume && m_random.chance(m_rules.lost_resumes)) {
                return;
            }
            if (command.kind == command_kind::demote && command.at_term > target.known_term) {
                target.is_primary = false;
            }
            const bool pauses = command.kind == command_kind::pause &&
                                command.at_term > target.known_term && !target.is_primary;
            target.paused = (target.paused || pauses) && command.kind != command_kind::resume;
            statement::server_status status;
            status.is_primary = target.is_primary;
            status.known_term = target.known_term;
            status.received = position_of(target);
            reply(name, member, link.server, [this, id, status](daemon& asker) {
                asker.subject->on_server_status(id, status, now());
            });
            return;
        }
        const std::uint64_t last_commit = m_last_commit;
        statement::answer content = run_statement(name, link, target, command, sent_at);
        content.position = position_of(target);
        if (m_rules.sync_replicas > 0 && m_last_commit != last_commit) {
            m_waiting_commits.push_back(
                {name, member.life, id, target.name, m_last_commit, std::move(content)});
            return;
        }
        reply(name, member, link.server, [this, id, content](daemon& asker) {
            asker.subject->on_server_answer(id, content, now());
        });
    }

    /// Answers commits that enough replicas have received.
    void answer_received_commits()
    {
        for (waiting_commit& next : std::exchange(m_waiting_commits, {})) {
            const auto holders = static_cast<std::uint32_t>(
                std::count_if(m_servers.begin(), m_servers.end(), [&](const auto& member) {
                    const std::vector<std::uint64_t>& log = member.second.log;
                    return member.first != next.server &&
                           std::find(log.begin(), log.end(), next.commit) != log.end();
                }));
            const auto sender = m_daemons.find(next.daemon);
            if (sender == m_daemons.end() || sender->second->life != next.life) {
                continue;
            }
            if (!server_of(next.server).is_primary) {
                deliver_closed(next.daemon, next.life, next.connection);
            }
            else if (holders < m_rules.sync_replicas) {
                m_waiting_commits.push_back(std::move(next));
            }
            else {
                reply(next.daemon, *sender->second, next.server,
                      [this, id = next.connection, content = next.content](daemon& asker) {
                          asker.subject->on_server_answer(id, content, now());
                      });
            }
        }
    }

    void reply(const std::string& name, const daemon& member, const std::string& server_name,
               event deliver)
    {
        if (connected(name, server_name)) {
            at_daemon(name, member.life, latency, std::move(deliver));
        }
    }

    statement::answer run_statement(const std::string& name, server_link& link, server& target,
                                    const statement::server_command& command, time_point sent_at)
    {
        using statement::command_kind;
        using statement::transaction_state;
        statement::answer content;
        const auto refuse = [&](statement::error_class kind) {
            content.error = kind;
            content.state =
                link.in_transaction ? transaction_state::failed : transaction_state::idle;
        };
        if (command.min_position && *command.min_position > position_of(target)) {
            refuse(statement::error_class::lagging);
            return content;
        }
        const bool writes = command.text.starts_with("WRITE");
        if (command.kind == command_kind::begin) {
            if (!target.is_primary) {
                refuse(statement::error_class::read_only);
                return content;
            }
            link.in_transaction = true;
        }
        else if (command.kind == command_kind::rollback) {
            link = {link.server};
        }
        else if (command.kind == command_kind::forward) {
            if ((writes || link.in_transaction) && !target.is_primary &&
                (command.text != "COMMIT" || link.wrote)) {
                refuse(statement::error_class::read_only);
                return content;
            }
            content.signature = "signed";
            if (command.text == "COMMIT") {
                if (std::exchange(link.wrote, false)) {
                    add_commit(name, target, command.id, sent_at);
                }
                link.in_transaction = false;
            }
            else if (writes && link.in_transaction) {
                link.wrote = true;
            }
            else if (writes) {
                add_commit(name, target, command.id, sent_at);
            }
            else {
                content.rows = {"row"};
                check_read(name, target, command.id);
            }
        }
        content.state = link.in_transaction ? transaction_state::open : transaction_state::idle;
        return content;
    }

    log_position position_of(const server& target) const
    {
        return {target.known_term, target.log.size()};
    }

    void add_commit(const std::string& name, server& target, const std::string& request,
                    time_point sent_at)
    {
        const std::uint64_t id = ++m_last_commit;
        target.log.push_back(id);
        m_commits[id] = {id, target.known_term, time_point::max()};
        m_commit_of_request[request] = id;
        const std::string leader = newest_primary();
        const bool suspended =
            m_suspended_until.contains(name) && m_suspended_until.at(name) + 300ms >= sent_at;
        if (leader != target.name && !suspended) {
            m_late_commits.insert(id);
        }
    }

    void check_read(const std::string& name, const server& target, const std::string& request)
    {
        const auto asked = m_asked_at.find(request);
        const std::string leader = newest_primary();
        if (asked == m_asked_at.end() || leader.empty()) {
            return;
        }
        for (const std::uint64_t id : missing_from(target, server_of(leader))) {
            if (m_commits.at(id).acknowledged_at < asked->second) {
                violations.push_back("STALE: " + name + " read at " + target.name +
                                     " without commit " + std::to_string(id));
                return;
            }
        }
    }

    /// The commits that \p other has and \p target lacks: logs are the same up to some entry.
    static std::vector<std::uint64_t> missing_from(const server& target, const server& other)
    {
        const auto [own, others] =
            std::mismatch(target.log.begin(), target.log.end(), other.log.begin(), other.log.end());
        return {others, other.log.end()};
    }

    void carry_out(const std::string& name, daemon& member, promotion_step& next)
    {
        if (store_down || !connected(name, store_name)) {
            fail_step(name, member, next);
            return;
        }
        if (std::holds_alternative<promotion::read_shared_state>(next.step)) {
            m_queue.after(latency, [this, name, life = member.life] {
                promotion::shared_state state;
                state.current_claim = claim;
                state.claim_version = m_claim_version;
                state.suspicions = m_suspicions;
                state.daemons = m_daemon_names.size();
                state.now = store_now();
                at_daemon(name, life, latency, [this, state](daemon& reader) {
                    reader.subject->on_shared_state(service, state, now());
                });
            });
        }
        else if (const auto* report = std::get_if<promotion::report_suspicion>(&next.step)) {
            std::erase_if(m_suspicions,
                          [&](const promotion::suspicion& old) { return old.daemon == name; });
            m_suspicions.emplace_back(promotion::suspicion{name, report->primary, store_now()});
        }
        else if (const auto* write = std::get_if<promotion::write_claim>(&next.step)) {
            const bool late = m_random.chance(m_rules.late_claims);
            const duration delay =
                late ? m_random.between(shortest_late_call, longest_late_call) : latency;
            if (late) {
                fail_step(name, member, next);
            }
            m_queue.after(delay, [this, name, life = member.life, write = *write, late] {
                const bool done = write.expected_version == m_claim_version;
                if (done) {
                    claim = write.next;
                    ++m_claim_version;
                    last_claimant = name;
                    if (on_claim) {
                        on_claim();
                    }
                }
                if (late) {
                    return;
                }
                at_daemon(name, life, latency, [this, done](daemon& writer) {
                    writer.subject->on_claim_written(service,
                                                     done ? promotion::call_outcome::done
                                                          : promotion::call_outcome::conflict,
                                                     now());
                });
            });
        }
        else if (const auto* order = std::get_if<promotion::order_promotion>(&next.step)) {
            take_order(name, member.life, *order);
        }
    }

    void fail_step(const std::string& name, const daemon& member, const promotion_step& next)
    {
        at_daemon(name, member.life, 1s, [this, step = next.step](daemon& caller) {
            if (std::holds_alternative<promotion::read_shared_state>(step)) {
                caller.subject->on_shared_state(service, std::nullopt, now());
            }
            else if (std::holds_alternative<promotion::write_claim>(step)) {
                caller.subject->on_claim_written(service, promotion::call_outcome::failed, now());
            }
            else if (std::holds_alternative<promotion::order_promotion>(step)) {
                caller.subject->on_promotion_ordered(service, promotion::call_outcome::failed,
                                                     now());
            }
            else {
                caller.subject->on_suspicion_written(service, promotion::call_outcome::failed,
                                                     now());
            }
        });
    }

    void take_order(const std::string& name, std::uint64_t life,
                    const promotion::order_promotion& order)
    {
        ++orders;
        if (m_rules.old_primary_stops) {
            take_fenced_order(name, life, order);
            return;
        }
        if (order.token < m_newest_token) {
            violations.push_back("ONE: " + name + " ordered with an old token");
        }
        if (order.token == m_newest_token && m_newest_holder != name) {
            violations.emplace_back("ONE: two daemons ordered with one token");
        }
        m_newest_token = std::max(m_newest_token, order.token);
        m_newest_holder = name;
        const bool runs = server_of(order.target).running;
        if (runs) {
            m_queue.after(order_delay + promotion_time,
                          [this, target = order.target] { promote(target); });
        }
        // An order that is carried out late was not answered.
        const bool late = order_delay > duration{0};
        const auto outcome = late   ? promotion::call_outcome::failed
                             : runs ? promotion::call_outcome::done
                                    : promotion::call_outcome::conflict;
        at_daemon(name, life, late ? duration{1s} : latency * 2, [this, outcome](daemon& caller) {
            caller.subject->on_promotion_ordered(service, outcome, now());
        });
    }

    void take_fenced_order(const std::string& name, std::uint64_t life,
                           const promotion::order_promotion& order)
    {
        if (m_random.chance(m_rules.late_orders)) {
            m_queue.after(m_random.between(shortest_late_call, longest_late_call),
                          [this, name, order] { (void)carry_out_order(name, order); });
            at_daemon(name, life, call_timeout, [this](daemon& caller) {
                caller.subject->on_promotion_ordered(service, promotion::call_outcome::failed,
                                                     now());
            });
            return;
        }
        m_queue.after(latency, [this, name, life, order] {
            const auto outcome = carry_out_order(name, order);
            at_daemon(name, life, latency, [this, outcome](daemon& caller) {
                caller.subject->on_promotion_ordered(service, outcome, now());
            });
        });
    }

    promotion::call_outcome carry_out_order(const std::string& name,
                                            const promotion::order_promotion& order)
    {
        if (order.token < m_newest_token) {
            return promotion::call_outcome::conflict;
        }
        if (order.token == m_newest_token && m_newest_holder != name) {
            violations.emplace_back("ONE: two daemons ordered with one token");
        }
        m_newest_token = order.token;
        m_newest_holder = name;
        if (!server_of(order.target).running) {
            return promotion::call_outcome::conflict;
        }
        if (newest_primary() != order.target) {
            m_queue.after(promotion_time, [this, target = order.target] { promote(target); });
        }
        return promotion::call_outcome::done;
    }

    void promote(const std::string& target)
    {
        server& promoted = server_of(target);
        if (!promoted.running || newest_primary() == target) {
            return;
        }
        term newest{0};
        for (const auto& [name, member] : m_servers) {
            newest = std::max(newest, member.known_term);
            for (const std::uint64_t id : missing_from(promoted, member)) {
                if (m_commits.at(id).acknowledged_at != time_point::max() &&
                    m_lost.insert(id).second) {
                    ++lost_commits;
                    if (m_rules.sync_replicas > 0) {
                        violations.push_back("LOST: commit " + std::to_string(id) +
                                             " is missing at " + target);
                    }
                }
            }
        }
        ++promotions;
        if (m_rules.old_primary_stops) {
            for (auto& [name, member] : m_servers) {
                member.is_primary = false;
                member.paused = false;
            }
        }
        promoted.known_term = newest.next();
        promoted.is_primary = true;
    }

    promotion::store_time store_now() const
    {
        return std::chrono::duration_cast<promotion::store_time>(now().time_since_epoch());
    }

    /// A client that writes, reads, and writes in a transaction, by turns.
    void start_client(const std::string& name, std::uint64_t life, std::uint64_t number)
    {
        at_daemon(name, life, 50ms, [this, name, life, number](daemon& member) {
            const session_id id{number + 1};
            member.subject->on_client_connected(id, now());
            member.subject->on_client_start(id, "orders", std::nullopt, now());
            run_client(name, life, id, 0);
        });
    }

    void run_client(const std::string& name, std::uint64_t life, session_id id, std::size_t turn)
    {
        at_daemon(name, life, 30ms, [this, name, life, id, turn](daemon& member) {
            const auto repeat = [this, name, life, id, turn](const statement::answer& /*content*/) {
                run_client(name, life, id, turn + 1);
            };
            using statement::verb;
            if (turn % 3 == 0) {
                ask(member, id, verb::write, "WRITE a b", repeat);
            }
            else if (turn % 3 == 1) {
                ask(member, id, verb::read, "READ a", repeat);
            }
            else {
                run_transaction(name, life, id, repeat);
            }
        });
    }

    void run_transaction(const std::string& name, std::uint64_t life, session_id id,
                         const std::function<void(const statement::answer&)>& done)
    {
        using statement::verb;
        const auto then = [this, name, life, id](verb kind, const char* text, auto next) {
            return [this, name, life, id, kind, text, next](const statement::answer& /*before*/) {
                at_daemon(name, life, 10ms, [this, id, kind, text, next](daemon& member) {
                    ask(member, id, kind, text, next);
                });
            };
        };
        ask(*m_daemons.at(name), id, verb::begin, "BEGIN",
            then(verb::write, "WRITE a b", then(verb::commit, "COMMIT", done)));
    }

    void ask(daemon& member, session_id id, statement::verb kind, const char* text,
             const std::function<void(const statement::answer&)>& on_answer)
    {
        statement::statement request;
        request.id = "q" + std::to_string(++m_requests);
        request.kind = kind;
        request.text = text;
        m_asked_at[request.id] = now();
        const std::string request_id = request.id;
        member.waiting[id] = [this, request_id, on_answer](const statement::answer& content) {
            if (content.ok()) {
                acknowledge(request_id);
            }
            on_answer(content);
        };
        member.subject->on_client_statement(id, std::move(request), now());
    }

    void acknowledge(const std::string& request)
    {
        const auto found = m_commit_of_request.find(request);
        if (found == m_commit_of_request.end()) {
            return;
        }
        m_commits.at(found->second).acknowledged_at = now();
        if (m_late_commits.contains(found->second)) {
            violations.push_back("ONE: commit " + std::to_string(found->second) +
                                 " at an old primary was acknowledged");
        }
    }

    fleet_rules m_rules;
    sim::event_queue m_queue;
    random_source m_random;
    std::vector<waiting_commit> m_waiting_commits;
    std::string m_last_primary;
    std::map<std::string, server> m_servers;
    std::vector<std::string> m_daemon_names;
    std::map<std::string, std::unique_ptr<daemon>> m_daemons;
    std::map<std::string, time_point> m_suspended_until;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::uint64_t m_lives{0};
    std::uint64_t m_requests{0};
    std::uint64_t m_last_commit{0};
    std::map<std::uint64_t, commit> m_commits;
    std::map<std::string, std::uint64_t> m_commit_of_request;
    std::set<std::uint64_t> m_late_commits; ///< made at a server that another had replaced
    std::set<std::uint64_t> m_lost;
    std::map<std::string, time_point> m_asked_at;
    std::vector<promotion::suspicion> m_suspicions;
    std::uint64_t m_claim_version{0};
    std::uint64_t m_newest_token{0};
    std::string m_newest_holder;
};

} // namespace gypsumstep::proxy::test
