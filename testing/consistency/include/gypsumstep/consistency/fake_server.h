/// \file
/// A hand-written backend server: durable log and grant register, asynchronous replication.
#pragma once

#include "gypsumstep/commit/outcome.h"
#include "gypsumstep/consistency/oracle.h"
#include "gypsumstep/consistency/process.h"
#include "gypsumstep/failover/actions.h"

#include <algorithm>
#include <functional>
#include <memory>

namespace gypsumstep::consistency {

/// What a server is asked to write. Sent over one connection in one term.
struct write_request {
    std::uint64_t id{0};
    std::uint64_t connection{0}; ///< as returned by connect()
    term sent_in;
    std::uint64_t key{0};
    std::uint32_t attempt{0};
};

/// A server's answer to a read.
struct read_answer {
    bool served{false};
    log_position applied;
    std::shared_ptr<const std::vector<std::uint64_t>> keys; ///< ascending; set if served
};

/// One backend server of the group.
template <class Rules>
class fake_server {
public:
    using grant_register = failover::basic_grant_register<typename Rules::failover>;
    using report_sink = std::function<void(const commit::server_report&)>;

    fake_server(server_id id, surroundings& world, oracle& checks, duration lag)
        : proc{world, id.value()}, m_id{id}, m_checks{checks}, m_lag{lag}
    {
    }

    /// Starts heartbeats; \p peers are the group's servers, this one included.
    void start(std::vector<fake_server*> peers)
    {
        m_peers = std::move(peers);
        boot();
    }

    void restart()
    {
        proc.restart();
        boot();
    }

    [[nodiscard]] server_id id() const { return m_id; }
    [[nodiscard]] const std::vector<log_entry>& log() const { return m_log; }
    [[nodiscard]] bool in_office() const
    {
        return m_role == failover::server_role::primary &&
               m_register.highest() == m_primary.primary_term;
    }
    [[nodiscard]] term office_term() const { return m_primary.primary_term; }

    [[nodiscard]] log_position last() const { return position(m_log.size()); }

    [[nodiscard]] commit::server_report report() const
    {
        return {m_id, last(), m_register.highest()};
    }

    [[nodiscard]] failover::health_report health() const
    {
        return {m_id,
                m_role,
                m_primary,
                m_register.highest(),
                std::max(m_highest_seen, m_register.highest()),
                last(),
                contact_age()};
    }

    failover::grant_answer grant(const failover::request_grant& ask)
    {
        const bool granted = m_register.grant(ask.requested_term, ask.claim);
        changed();
        return {ask.claim, m_id, ask.requested_term, granted, m_register.highest(), last()};
    }

    failover::promote_answer promote(const failover::promote& order)
    {
        const bool again = m_role == failover::server_role::primary &&
                           m_primary.primary_term == order.requested_term;
        auto answer =
            m_register.promote(order.requested_term, order.claim, last(), order.min_position);
        if (!again && last().entry_term == order.requested_term) {
            answer = failover::promotion_answer::refused; // a restart ended its office
        }
        if (answer == failover::promotion_answer::promoted && !again) {
            open(order.requested_term);
        }
        return {order.claim, m_id, order.requested_term, answer, m_register.highest()};
    }

    void follow(const failover::primary_view& primary)
    {
        if (primary.primary_term > m_primary.primary_term && !primary.is_primary(m_id)) {
            become_replica(primary);
        }
    }

    /// A connection; it ends when the server restarts or leaves office.
    [[nodiscard]] std::uint64_t connect() const { return m_connection; }

    /// The position of the write, nothing if it was refused, or no answer at all.
    std::optional<std::optional<log_position>> write(const write_request& request)
    {
        const bool stale = request.connection != m_connection;
        if (stale || !m_seen.insert(request.id).second) {
            return std::nullopt;
        }
        if (!in_office() || request.sent_in != m_primary.primary_term) {
            return std::optional<log_position>{};
        }
        m_log.push_back({m_primary.primary_term, request.key, request.attempt});
        replicate();
        changed();
        return std::optional{last()};
    }

    [[nodiscard]] read_answer read(const log_position& token) const
    {
        const log_position applied = position(in_office() ? m_log.size() : m_applied);
        if (!Rules::may_read(applied, token)) {
            return {};
        }
        auto keys = std::make_shared<std::vector<std::uint64_t>>();
        for (std::size_t i = 0; i < applied.index; ++i) {
            keys->push_back(m_log[i].key);
        }
        std::sort(keys->begin(), keys->end());
        return {true, applied, std::move(keys)};
    }

    /// Nothing unless in office.
    [[nodiscard]] std::optional<commit::key_lookup> look_up(std::uint64_t key, term sent_in) const
    {
        if (!in_office()) {
            return std::nullopt;
        }
        commit::key_lookup found{sent_in, position(m_opening), {}};
        for (std::size_t i = 0; i < m_log.size(); ++i) {
            if (m_log[i].key == key) {
                found.key_position = position(i + 1);
            }
        }
        return found;
    }

    /// Sends health reports to the daemons that are homes of this server.
    template <class Daemon>
    void report_health_to(const std::vector<Daemon*>& daemons)
    {
        for (Daemon* to : daemons) {
            if (to->is_home_of(m_id)) {
                m_health_sinks.push_back([this, to](const failover::health_report& report) {
                    proc.send(to->proc, [to, report] { to->tell(report); });
                });
            }
        }
    }

    void on_change(report_sink sink) { m_sink = std::move(sink); }

    process proc;

private:
    static constexpr duration heartbeat_interval{50'000};
    static constexpr std::uint64_t beats_per_health_report = 2;

    struct peer_state {
        std::size_t acknowledged{0}; ///< entries known to agree
        time_point answered;         ///< when the last answered message was sent
        time_point echo;             ///< when the peer sent its last answer
    };

    struct append {
        failover::primary_view primary;
        std::size_t previous{0};
        term previous_term;
        std::vector<log_entry> entries;
        time_point sent_at;
        time_point echo;
    };

    struct append_answer {
        bool taken{false};
        bool matched{false};
        term highest;
        std::size_t agreed{0};
        time_point request_sent_at;
        time_point sent_at;
    };

    [[nodiscard]] log_position position(std::size_t index) const
    {
        return index == 0 ? log_position{} : log_position{m_log[index - 1].entry_term, index};
    }

    [[nodiscard]] duration contact_age() const
    {
        if (m_role == failover::server_role::replica) {
            return proc.now() - m_contact;
        }
        std::vector<time_point> answered{proc.now()};
        for (const auto& [peer, state] : m_peer_states) {
            answered.push_back(state.answered);
        }
        std::sort(answered.rbegin(), answered.rend());
        return proc.now() - answered[commit::majority_of(m_peers.size()) - 1];
    }

    void boot()
    {
        m_role = failover::server_role::replica;
        m_primary = {};
        m_highest_seen = m_register.highest();
        m_contact = proc.now();
        close_connections();
        m_applied = m_log.size();
        beat();
    }

    void close_connections()
    {
        ++m_connection;
        m_seen.clear();
    }

    void beat()
    {
        replicate();
        ++m_beats;
        if (m_beats % beats_per_health_report == 0) {
            for (const auto& sink : m_health_sinks) {
                sink(health());
            }
        }
        proc.after(heartbeat_interval, [this] { beat(); });
    }

    void open(term opened)
    {
        m_role = failover::server_role::primary;
        m_primary = {opened, m_id};
        m_log.push_back({opened, 0, 0});
        m_opening = m_log.size();
        m_checks.opened(proc.now(), opened, m_id);
        m_peer_states.clear();
        for (const fake_server* peer : m_peers) {
            if (peer != this) {
                m_peer_states[peer->m_id] = {m_opening - 1, proc.now(), {}};
            }
        }
        replicate();
        changed();
    }

    void become_replica(const failover::primary_view& primary)
    {
        if (m_role == failover::server_role::primary) {
            close_connections();
            m_applied = m_log.size();
        }
        m_role = failover::server_role::replica;
        m_primary = primary;
        m_contact = proc.now();
    }

    /// A deposed primary goes on shipping its entries to those that still take them.
    void replicate()
    {
        if (m_role != failover::server_role::primary) {
            return;
        }
        for (fake_server* peer : m_peers) {
            if (peer == this) {
                continue;
            }
            peer_state& state = m_peer_states[peer->m_id];
            state.acknowledged = std::min(state.acknowledged, m_log.size());
            const auto from = m_log.begin() + static_cast<std::ptrdiff_t>(state.acknowledged);
            const append message{
                m_primary,           state.acknowledged, position(state.acknowledged).entry_term,
                {from, m_log.end()}, proc.now(),         state.echo};
            proc.send(peer->proc, [this, peer, message] {
                const append_answer answer = peer->take(message);
                peer->proc.send(proc, [this, peer, message, answer] {
                    answered(*peer, message.primary.primary_term, answer);
                });
            });
        }
    }

    append_answer take(const append& message)
    {
        append_answer answer{false, false, {}, 0, message.sent_at, proc.now()};
        answer.taken = m_register.accept_entry(message.primary.primary_term);
        answer.highest = m_register.highest();
        if (!answer.taken || message.primary.is_primary(m_id)) {
            return answer;
        }
        if (message.primary.primary_term > m_primary.primary_term) {
            become_replica(message.primary);
        }
        m_contact = std::max(m_contact, message.echo);
        answer.matched = message.previous <= m_log.size() &&
                         position(message.previous).entry_term == message.previous_term;
        answer.agreed =
            answer.matched ? store(message) : std::min(message.previous, m_log.size() + 1) - 1;
        changed();
        return answer;
    }

    /// Takes the entries; only those that contradict the primary's are dropped.
    std::size_t store(const append& message)
    {
        std::size_t index = message.previous;
        for (const log_entry& entry : message.entries) {
            if (index < m_log.size() && m_log[index].entry_term != entry.entry_term) {
                m_log.resize(index);
                m_applied = std::min(m_applied, index);
            }
            if (index == m_log.size()) {
                m_log.push_back(entry);
            }
            ++index;
        }
        proc.after(m_lag, [this, index] {
            m_applied = std::max(m_applied, std::min(index, m_log.size()));
        });
        return index;
    }

    void answered(const fake_server& peer, term sent_in, const append_answer& answer)
    {
        m_highest_seen = std::max(m_highest_seen, answer.highest);
        if (m_role != failover::server_role::primary || sent_in != m_primary.primary_term ||
            !answer.taken) {
            return;
        }
        peer_state& state = m_peer_states[peer.m_id];
        state.answered = std::max(state.answered, answer.request_sent_at);
        state.echo = std::max(state.echo, answer.sent_at);
        if (answer.matched) {
            state.acknowledged = std::max(state.acknowledged, answer.agreed);
        }
        else if (answer.agreed < state.acknowledged) {
            state.acknowledged = answer.agreed;
            replicate();
        }
    }

    void changed()
    {
        const commit::server_report now = report();
        if (m_sink && now != m_reported) {
            m_reported = now;
            m_sink(now);
        }
    }

    server_id m_id;
    oracle& m_checks;
    duration m_lag;
    std::vector<fake_server*> m_peers;
    report_sink m_sink;
    std::vector<std::function<void(const failover::health_report&)>> m_health_sinks;
    std::uint64_t m_beats{0};
    commit::server_report m_reported;

    // Durable.
    std::vector<log_entry> m_log;
    grant_register m_register;
    std::uint64_t m_connection{0}; ///< never reused

    // Lost in a restart.
    failover::server_role m_role{failover::server_role::replica};
    failover::primary_view m_primary;
    term m_highest_seen;
    std::size_t m_opening{0};
    std::size_t m_applied{0};
    time_point m_contact;
    std::map<server_id, peer_state> m_peer_states;
    std::set<std::uint64_t> m_seen;
};

} // namespace gypsumstep::consistency
