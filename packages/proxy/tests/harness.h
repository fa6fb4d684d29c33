/// \file
/// Runs a proxy in virtual time between fake backend servers and fake clients.
#pragma once

#include "gypsumstep/proxy/proxy.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gypsumstep::proxy::test {

using statement::command_kind;
using statement::error_class;
using statement::transaction_state;
using statement::verb;

/// One backend server of the fake group.
struct fake_server {
    bool primary{false};
    bool reachable{true};
    bool silent{false}; ///< accepts commands and never answers
    bool paused{false}; ///< stopped receiving the log
    std::string service{"ledger"};
    log_position position{term{1}, 100};
    std::size_t begun{0};  ///< transactions begun
    std::size_t writes{0}; ///< writes and committed writes that took effect
};

/// A command that a server received, and the connection it came on.
struct received_command {
    std::string server;
    server_connection_id connection;
    statement::server_command command;
};

/// Runs a proxy and carries out its actions. Servers answer immediately unless they are silent.
class harness {
public:
    explicit harness(options chosen = make_options()) : m_proxy{std::move(chosen)}
    {
        servers["p"].primary = true;
        servers["r"];
    }

    static options make_options()
    {
        options made;
        made.daemon = "front-1";
        made.domain = "a";
        made.regions = {{"a", "north"}, {"b", "south"}};
        made.seed = 5;
        return made;
    }

    /// Applies a configuration that has one route per read consistency, named after it. All
    /// routes lead to \p service.
    /// Key with which clients connect, and the accounts of the next configuration.
    std::optional<accounts::key_digest> key;
    std::optional<accounts::account_table> accounts;

    void configure(std::uint64_t version = 1, std::uint32_t sync_replicas = 0,
                   const std::string& service = "ledger")
    {
        directory::configuration made;
        made.version = config_version{version};
        const auto add = [&](const char* name, directory::consistency reads, std::uint32_t rank) {
            directory::route route;
            route.database = name;
            route.service = service;
            route.read_consistency = reads;
            route.statement_timeout = statement_timeout;
            route.target_latency = target_latency;
            route.priority = rank;
            route.max_staleness =
                reads == directory::consistency::primary ? duration{0} : duration{1500ms};
            made.routes.push_back(route);
        };
        add("primary", directory::consistency::primary, 0);
        add("bounded", directory::consistency::bounded_age, 1);
        add("own", directory::consistency::read_your_writes, 2);
        made.transaction_idle_timeout = 3s;
        made.accounts = accounts;
        made.services[service] = {33, sync_replicas};
        m_proxy.on_configuration(std::move(made), now);
        settle();
    }

    directory::server_entry entry_of(const std::string& name)
    {
        directory::server_entry entry;
        entry.name = name;
        entry.service = servers[name].service;
        entry.host = name;
        entry.port = 1;
        entry.domain = "a";
        entry.slots = 5;
        entry.role = servers[name].primary ? directory::server_role::primary
                                           : directory::server_role::replica;
        entry.draining = draining.contains(name);
        return entry;
    }

    /// Passes a listing of all servers except \p absent to the proxy.
    void list_servers(const std::string& absent = {})
    {
        std::vector<directory::server_entry> listing;
        for (const auto& [name, server] : servers) {
            if (name != absent) {
                listing.push_back(entry_of(name));
            }
        }
        m_proxy.on_servers(listing, now);
        settle();
    }

    void start()
    {
        configure();
        list_servers();
    }

    session_id connect(const std::string& database)
    {
        const session_id id{++m_sessions};
        m_proxy.on_client_connected(id, now);
        m_proxy.on_client_start(id, database, key, now);
        settle();
        return id;
    }

    /// Sends a statement without waiting for the answer.
    void send(session_id session, statement::statement request)
    {
        request.id = "q" + std::to_string(++m_requests);
        m_proxy.on_client_statement(session, std::move(request), now);
        settle();
    }

    /// Silences the server, forgets earlier answers and sends the statement.
    void send_to_silent(const std::string& server, session_id session, statement::statement request)
    {
        servers[server].silent = true;
        answers.clear();
        send(session, std::move(request));
    }

    /// Starts the proxy and a client's transaction that has run a write.
    session_id start_writing_transaction()
    {
        start();
        const session_id client = connect("primary");
        (void)ask(client, begin());
        (void)ask(client, write());
        return client;
    }

    /// Sends a statement and returns its answer, or nothing if it isn't answered yet.
    std::optional<statement::answer> ask(session_id session, statement::statement request)
    {
        answers.erase(session);
        send(session, std::move(request));
        return answer_of(session);
    }

    std::optional<statement::answer> answer_of(session_id session)
    {
        const auto found = answers.find(session);
        return found == answers.end() ? std::nullopt : std::optional{found->second};
    }

    void close(session_id session)
    {
        m_proxy.on_client_closed(session, now);
        settle();
    }

    void advance_time(duration time)
    {
        const time_point end = now + time;
        while (now < end) {
            now += 20ms;
            m_proxy.on_tick(now);
            settle();
        }
    }

    /// Resets all connections of a server.
    void reset(const std::string& server)
    {
        std::vector<server_connection_id> ids;
        for (const auto& [id, name] : m_connections) {
            if (name == server) {
                ids.push_back(id);
            }
        }
        for (const server_connection_id id : ids) {
            m_connections.erase(id);
            m_proxy.on_server_connection_closed(id, "reset", now);
        }
        settle();
    }

    /// Delivers the answer to a command that a silent server left unanswered.
    void answer_late(const received_command& command, statement::answer content)
    {
        m_proxy.on_server_answer(command.connection, std::move(content), now);
        settle();
    }

    /// Returns the commands of one kind that a server received; of all servers if none is named.
    std::vector<received_command> commands(command_kind kind, const std::string& server = {}) const
    {
        std::vector<received_command> found;
        std::copy_if(log.begin(), log.end(), std::back_inserter(found),
                     [&](const received_command& command) {
                         return command.command.kind == kind &&
                                (server.empty() || command.server == server);
                     });
        return found;
    }

    /// Returns the client account that a connection was opened for.
    std::string account_of(server_connection_id id) const { return m_accounts.at(id); }

    bool connection_open(server_connection_id id) const { return m_connections.contains(id); }

    static statement::statement make(verb kind, const std::string& text)
    {
        statement::statement made;
        made.kind = kind;
        made.text = text;
        return made;
    }
    static statement::statement read() { return make(verb::read, "READ a"); }
    static statement::statement write() { return make(verb::write, "WRITE a b"); }
    static statement::statement begin() { return make(verb::begin, "BEGIN"); }
    static statement::statement begin_read() { return make(verb::begin_read_only, "BEGIN READ"); }
    static statement::statement commit() { return make(verb::commit, "COMMIT"); }
    static statement::statement rollback() { return make(verb::rollback, "ROLLBACK"); }
    static statement::statement set(const std::string& name, const std::string& value)
    {
        auto made = make(verb::set, "SET");
        made.name = name;
        made.value = value;
        return made;
    }
    static statement::statement prepare(const std::string& name, statement::access mode,
                                        const std::string& shape)
    {
        auto made = make(verb::prepare, "PREPARE");
        made.name = name;
        made.prepared_access = mode;
        made.value = shape;
        return made;
    }
    static statement::statement execute(const std::string& name)
    {
        auto made = make(verb::execute, "EXECUTE " + name + " a");
        made.name = name;
        made.value = "a";
        return made;
    }

    /// If set and it returns an answer, that answer replaces the fake server's own.
    std::function<std::optional<statement::answer>(const received_command&)> script;

    duration statement_timeout{1s}; ///< of the routes of the next configuration
    duration target_latency{0};     ///< likewise
    std::map<std::string, fake_server> servers;
    std::set<std::string> draining;
    std::map<session_id, statement::answer> answers;
    std::set<session_id> closed;
    std::vector<received_command> log;
    std::vector<promotion_step> promotions;
    std::vector<send_peer_message> peer_messages;
    std::size_t claim_reads{0};
    std::vector<decision> decisions;
    bool stopped{false};
    time_point now{100s};

    proxy& proxy_under_test() { return m_proxy; }

private:
    void settle()
    {
        for (auto next = m_proxy.take_actions(); !next.empty(); next = m_proxy.take_actions()) {
            for (action& pending : next) {
                std::visit([this](auto& alternative) { carry_out(alternative); }, pending);
            }
        }
    }

    void carry_out(send_answer& next) { answers[next.session] = next.content; }
    void carry_out(send_start_answer& next) { answers[next.session] = next.content; }
    void carry_out(close_session& next) { closed.insert(next.session); }
    void carry_out(close_server_connection& next) { m_connections.erase(next.connection); }
    void carry_out(promotion_step& next) { promotions.push_back(next); }
    void carry_out(read_claims& /*next*/) { ++claim_reads; }
    void carry_out(send_peer_message& next) { peer_messages.push_back(next); }
    void carry_out(refresh_servers& /*next*/) {}
    void carry_out(decision& next) { decisions.push_back(next); }
    void carry_out(statement_finished& /*next*/) {}
    void carry_out(shutdown_complete& /*next*/) { stopped = true; }

    void carry_out(open_server_connection& next)
    {
        m_accounts[next.connection] = next.account;
        const fake_server& server = servers[next.server];
        if (!server.reachable) {
            m_proxy.on_server_connection_closed(next.connection, "refused", now);
            return;
        }
        m_connections[next.connection] = next.server;
        if (!server.silent) {
            m_proxy.on_server_answer(next.connection, {}, now);
        }
    }

    void carry_out(send_command& next)
    {
        const received_command received{m_connections.at(next.connection), next.connection,
                                        next.command};
        log.push_back(received);
        if (script) {
            if (auto content = script(received)) {
                m_proxy.on_server_answer(next.connection, std::move(*content), now);
                return;
            }
        }
        fake_server& server = servers[received.server];
        if (server.silent) {
            return;
        }
        if (next.command.kind == command_kind::status ||
            next.command.kind == command_kind::demote || next.command.kind == command_kind::pause) {
            // A command of a term that is not above the server's newest one has no effect.
            const bool takes_effect = next.command.at_term > server.position.entry_term;
            server.primary =
                server.primary && (next.command.kind != command_kind::demote || !takes_effect);
            server.paused =
                server.paused || (next.command.kind == command_kind::pause && takes_effect);
            statement::server_status status;
            status.is_primary = server.primary;
            status.known_term = server.position.entry_term;
            status.received = server.position;
            m_proxy.on_server_status(next.connection, status, now);
            return;
        }
        m_proxy.on_server_answer(next.connection, own_answer(server, received), now);
    }

    statement::answer refusal(error_class kind, bool in_transaction)
    {
        statement::answer content;
        content.error = kind;
        content.state = in_transaction ? transaction_state::failed : transaction_state::idle;
        return content;
    }

    statement::answer own_answer(fake_server& server, const received_command& received)
    {
        const statement::server_command& command = received.command;
        bool& open = m_open[received.connection];
        bool& wrote = m_wrote[received.connection];
        statement::answer content;
        if (command.min_position && *command.min_position > server.position) {
            return refusal(error_class::lagging, open);
        }
        const bool writes = command.text.starts_with("WRITE") || command.name.starts_with("w_");
        switch (command.kind) {
        case command_kind::begin:
            if (!server.primary) {
                return refusal(error_class::read_only, false);
            }
            ++server.begun;
            open = true;
            break;
        case command_kind::begin_read_only:
            ++server.begun;
            open = true;
            break;
        case command_kind::rollback:
            open = false;
            wrote = false;
            break;
        case command_kind::forward:
            content.signature = "sig-" + received.server;
            if (command.text == "COMMIT") {
                server.writes += wrote ? 1 : 0;
                server.position.index += wrote ? 1 : 0;
                open = false;
                wrote = false;
            }
            else if (writes) {
                if (!server.primary) {
                    return refusal(error_class::read_only, open);
                }
                if (open) {
                    wrote = true;
                }
                else {
                    ++server.writes;
                    ++server.position.index;
                }
            }
            else {
                content.rows = {"row"};
            }
            break;
        default:
            break;
        }
        content.state = open ? transaction_state::open : transaction_state::idle;
        content.position = server.position;
        return content;
    }

    proxy m_proxy;
    std::map<server_connection_id, std::string> m_connections;
    std::map<server_connection_id, std::string> m_accounts;
    std::map<server_connection_id, bool> m_open;
    std::map<server_connection_id, bool> m_wrote;
    std::uint64_t m_sessions{0};
    std::uint64_t m_requests{0};
};

} // namespace gypsumstep::proxy::test
