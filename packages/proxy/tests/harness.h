/// \file
/// A proxy between hand-written fake servers and clients, in virtual time.
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
    bool silent{false}; ///< takes commands and never answers
    log_position position{term{1}, 100};
    std::size_t begun{0};  ///< transactions begun
    std::size_t writes{0}; ///< writes and committed writes that took effect
};

/// A command as a server received it.
struct received {
    std::string server;
    server_connection_id link;
    statement::server_command command;
};

/// Runs a proxy; everything happens at once unless a server is silent.
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

    /// Puts a configuration in force whose routes are named like their consistency.
    void configure(std::uint64_t version = 1, std::uint32_t sync_replicas = 0)
    {
        directory::configuration made;
        made.version = config_version{version};
        const auto add = [&](const char* name, directory::consistency reads, std::uint32_t rank) {
            directory::route route;
            route.database = name;
            route.service = "ledger";
            route.read_consistency = reads;
            route.statement_timeout = 1s;
            route.priority = rank;
            route.max_staleness =
                reads == directory::consistency::primary ? duration{0} : duration{1500ms};
            made.routes.push_back(route);
        };
        add("primary", directory::consistency::primary, 0);
        add("bounded", directory::consistency::bounded_age, 1);
        add("own", directory::consistency::read_your_writes, 2);
        made.transaction_idle_timeout = 3s;
        made.services["ledger"] = {33, sync_replicas};
        m_proxy.on_configuration(std::move(made), now);
        settle();
    }

    directory::server_entry entry_of(const std::string& name)
    {
        directory::server_entry entry;
        entry.name = name;
        entry.service = "ledger";
        entry.host = name;
        entry.port = 1;
        entry.domain = "a";
        entry.slots = 5;
        entry.role = servers[name].primary ? directory::server_role::primary
                                           : directory::server_role::replica;
        entry.draining = draining.contains(name);
        return entry;
    }

    /// Lists all servers but \p absent.
    void list_servers(const std::string& absent = {})
    {
        std::vector<directory::server_entry> listing;
        for (const auto& [name, each] : servers) {
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
        m_proxy.on_client_start(id, database, now);
        settle();
        return id;
    }

    /// Sends a statement without waiting for the answer.
    void send(session_id from, statement::statement request)
    {
        request.id = "q" + std::to_string(++m_requests);
        m_proxy.on_client_statement(from, std::move(request), now);
        settle();
    }

    /// The server stops answering, then the statement is sent; earlier answers are forgotten.
    void send_to_silent(const std::string& server, session_id from, statement::statement request)
    {
        servers[server].silent = true;
        answers.clear();
        send(from, std::move(request));
    }

    /// Starts the proxy and a client's transaction that has written.
    session_id start_writing_transaction()
    {
        start();
        const session_id client = connect("primary");
        (void)ask(client, begin());
        (void)ask(client, write());
        return client;
    }

    /// Sends a statement and returns its answer; nothing if there is none yet.
    std::optional<statement::answer> ask(session_id from, statement::statement request)
    {
        answers.erase(from);
        send(from, std::move(request));
        return answer_of(from);
    }

    std::optional<statement::answer> answer_of(session_id to)
    {
        const auto found = answers.find(to);
        return found == answers.end() ? std::nullopt : std::optional{found->second};
    }

    void close(session_id which)
    {
        m_proxy.on_client_closed(which, now);
        settle();
    }

    void pass(duration time)
    {
        const time_point end = now + time;
        while (now < end) {
            now += 20ms;
            m_proxy.on_tick(now);
            settle();
        }
    }

    /// The server resets all its connections.
    void reset(const std::string& server)
    {
        std::vector<server_connection_id> ids;
        for (const auto& [id, name] : m_links) {
            if (name == server) {
                ids.push_back(id);
            }
        }
        for (const server_connection_id id : ids) {
            m_links.erase(id);
            m_proxy.on_server_connection_closed(id, "reset", now);
        }
        settle();
    }

    /// A late answer of a server that was silent.
    void answer_late(const received& to, statement::answer content)
    {
        m_proxy.on_server_answer(to.link, std::move(content), now);
        settle();
    }

    /// Commands of one kind that a server received.
    std::vector<received> commands(command_kind kind, const std::string& server = {}) const
    {
        std::vector<received> found;
        std::copy_if(log.begin(), log.end(), std::back_inserter(found), [&](const received& each) {
            return each.command.kind == kind && (server.empty() || each.server == server);
        });
        return found;
    }

    bool link_open(server_connection_id id) const { return m_links.contains(id); }

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

    /// Replaces a server's own answer if it returns one.
    std::function<std::optional<statement::answer>(const received&)> script;

    std::map<std::string, fake_server> servers;
    std::set<std::string> draining;
    std::map<session_id, statement::answer> answers;
    std::set<session_id> closed;
    std::vector<received> log;
    std::vector<promotion_step> promotions;
    std::vector<decision> decisions;
    bool stopped{false};
    time_point now{100s};

    proxy& tested() { return m_proxy; }

private:
    void settle()
    {
        for (auto next = m_proxy.take_actions(); !next.empty(); next = m_proxy.take_actions()) {
            for (action& each : next) {
                std::visit([this](auto& one) { carry_out(one); }, each);
            }
        }
    }

    void carry_out(send_answer& next) { answers[next.session] = next.content; }
    void carry_out(send_start_answer& next) { answers[next.session] = next.content; }
    void carry_out(close_session& next) { closed.insert(next.session); }
    void carry_out(close_server_connection& next) { m_links.erase(next.connection); }
    void carry_out(promotion_step& next) { promotions.push_back(next); }
    void carry_out(refresh_servers& /*next*/) {}
    void carry_out(decision& next) { decisions.push_back(next); }
    void carry_out(statement_finished& /*next*/) {}
    void carry_out(shutdown_complete& /*next*/) { stopped = true; }

    void carry_out(open_server_connection& next)
    {
        const fake_server& to = servers[next.server];
        if (!to.reachable) {
            m_proxy.on_server_connection_closed(next.connection, "refused", now);
            return;
        }
        m_links[next.connection] = next.server;
        if (!to.silent) {
            m_proxy.on_server_answer(next.connection, {}, now);
        }
    }

    void carry_out(send_command& next)
    {
        const received taken{m_links.at(next.connection), next.connection, next.command};
        log.push_back(taken);
        if (script) {
            if (auto content = script(taken)) {
                m_proxy.on_server_answer(next.connection, std::move(*content), now);
                return;
            }
        }
        fake_server& to = servers[taken.server];
        if (to.silent) {
            return;
        }
        if (next.command.kind == command_kind::status ||
            next.command.kind == command_kind::demote || next.command.kind == command_kind::pause) {
            to.primary = to.primary && next.command.kind != command_kind::demote;
            statement::server_status status;
            status.is_primary = to.primary;
            status.known_term = to.position.entry_term;
            status.received = to.position;
            m_proxy.on_server_status(next.connection, status, now);
            return;
        }
        m_proxy.on_server_answer(next.connection, own_answer(to, taken), now);
    }

    statement::answer refusal(error_class kind, bool in_transaction)
    {
        statement::answer content;
        content.error = kind;
        content.state = in_transaction ? transaction_state::failed : transaction_state::idle;
        return content;
    }

    statement::answer own_answer(fake_server& by, const received& taken)
    {
        const statement::server_command& command = taken.command;
        bool& open = m_open[taken.link];
        bool& wrote = m_wrote[taken.link];
        statement::answer content;
        if (command.min_position && *command.min_position > by.position) {
            return refusal(error_class::lagging, open);
        }
        const bool writes = command.text.starts_with("WRITE") || command.name.starts_with("w_");
        switch (command.kind) {
        case command_kind::begin:
            if (!by.primary) {
                return refusal(error_class::read_only, false);
            }
            ++by.begun;
            open = true;
            break;
        case command_kind::begin_read_only:
            ++by.begun;
            open = true;
            break;
        case command_kind::rollback:
            open = false;
            wrote = false;
            break;
        case command_kind::forward:
            content.signature = "sig-" + taken.server;
            if (command.text == "COMMIT") {
                by.writes += wrote ? 1 : 0;
                by.position.index += wrote ? 1 : 0;
                open = false;
                wrote = false;
            }
            else if (writes) {
                if (!by.primary) {
                    return refusal(error_class::read_only, open);
                }
                if (open) {
                    wrote = true;
                }
                else {
                    ++by.writes;
                    ++by.position.index;
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
        content.position = by.position;
        return content;
    }

    proxy m_proxy;
    std::map<server_connection_id, std::string> m_links;
    std::map<server_connection_id, bool> m_open;
    std::map<server_connection_id, bool> m_wrote;
    std::uint64_t m_sessions{0};
    std::uint64_t m_requests{0};
};

} // namespace gypsumstep::proxy::test
