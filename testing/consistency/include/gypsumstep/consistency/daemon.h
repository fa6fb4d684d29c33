/// \file
/// One daemon: a group watcher, a commit tracker and the writes and reads of its callers.
#pragma once

#include "gypsumstep/commit/retry.h"
#include "gypsumstep/consistency/fake_platform.h"
#include "gypsumstep/consistency/fake_server.h"
#include "gypsumstep/failover/group_watcher.h"

namespace gypsumstep::consistency {

/// What a caller is told about a write.
struct write_result {
    commit::outcome outcome{commit::outcome::unknown};
    log_position position; ///< valid if it ran
    term sent_in;          ///< if unknown: it was sent in no later term; 0 if that is unknown too
};

using write_callback = std::function<void(const write_result&)>;
using read_callback = std::function<void(const read_answer&)>;

/// One daemon process.
template <class Rules>
class daemon {
public:
    using server = fake_server<Rules>;
    using watcher = failover::basic_group_watcher<typename Rules::failover>;
    using tracker = commit::basic_commit_tracker<typename Rules::commit>;

    struct config {
        std::uint32_t number{0};
        std::vector<server_id> homes;
        failover::settings failover;
    };

    daemon(config settings, surroundings& world, oracle& checks, std::vector<server*> servers,
           fake_platform& platform);

    void start(std::vector<daemon*> daemons)
    {
        m_daemons = std::move(daemons);
        boot();
    }

    void restart()
    {
        proc.restart();
        boot();
    }

    /// This run of the process; a restarted daemon has a new one.
    [[nodiscard]] std::uint64_t run() const { return proc.incarnation() * 100 + m_config.number; }

    /// Writes \p key by \p deadline.
    ///
    /// \p sent_before asks about a write of another daemon instead, which sent it in
    /// no later term; term 0 means that this is not known.
    void write(std::uint64_t key, std::optional<term> sent_before, time_point deadline,
               const write_callback& done);

    /// Reads at or past \p token from a random server; an answer not served means failure.
    void read(const log_position& token, time_point deadline, const read_callback& done);

    /// Tells the watcher.
    void tell(const failover::event& what);

    /// Takes in what a server holds.
    void report(const commit::server_report& report);

    [[nodiscard]] bool is_home_of(server_id wanted) const;
    [[nodiscard]] const watcher& group() const { return *m_watcher; }

    process proc;
    std::function<void(const failover::order_finished&)> on_order_finished;

private:
    enum class phase {
        fresh,    ///< not sent, or known not to have run
        sent,     ///< no answer yet
        executed, ///< the primary has it, a majority maybe not
        bounding, ///< learning the highest term in which another daemon can have sent it
        lookup,   ///< asking by key
    };

    struct request {
        std::uint64_t id{0};
        std::uint64_t key{0};
        std::uint32_t attempt{0};
        std::uint32_t retries{0};
        time_point deadline;
        write_callback done;
        phase at{phase::fresh};
        time_point next;  ///< when to act again
        time_point since; ///< of the phase
        term sent_in;     ///< highest term in which it can have been sent
        log_position position;
        std::set<server_id> bounded_by;
    };

    struct held_read {
        read_answer answer;
        log_position token;
        time_point deadline;
        read_callback done;
        bool from_replica{false};
    };

    void boot();
    void beat();
    void perform(const failover::action& what);
    void perform(const failover::request_grant& what);
    void perform(const failover::promote& what);
    void perform(const failover::follow_primary& what);
    void perform(const failover::read_claim& what);
    void perform(const failover::write_claim& what);
    void perform(const failover::send_suspicion& what);
    void perform(const failover::announce& what);
    void perform(const failover::order_finished& what);

    void advance();
    void advance(request& what);
    void send(request& what);
    void resend_blindly(request& what);
    void confirm(request& what);
    void bound(request& what);
    void look_up(request& what);
    void refused(std::uint64_t id, std::uint32_t attempt);
    void executed(std::uint64_t id, std::uint32_t attempt, const log_position& position);
    void looked_up(std::uint64_t id, const commit::key_lookup& found);
    void enter(request& what, phase next);
    void finish(request& what, const write_result& result);
    void release_reads();
    void ask_reports();
    request* find(std::uint64_t id);
    server& at(server_id id) { return *m_servers[id.value()]; }

    config m_config;
    surroundings& m_world;
    oracle& m_checks;
    std::vector<server*> m_servers;
    fake_platform& m_platform;
    std::vector<daemon*> m_daemons;
    std::uint64_t m_ids{0};

    // Lost in a restart.
    std::optional<watcher> m_watcher;
    std::optional<tracker> m_tracker;
    commit::retry_budget m_budget{{}};
    std::map<std::uint64_t, request> m_requests;
    std::vector<held_read> m_reads;
};

} // namespace gypsumstep::consistency

#include "gypsumstep/consistency/detail/daemon_impl.h"
