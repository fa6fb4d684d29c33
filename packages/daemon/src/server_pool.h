/// \file
/// A home's connections to one backend server.
#pragma once

#include "messages.h"
#include "request_queue.h"

#include "gypsumstep/backend/connection.h"
#include "gypsumstep/fleet/document.h"

#include <QTimer>

#include <array>
#include <functional>
#include <memory>
#include <vector>

namespace gypsumstep::daemon {

/// Runs requests on a limited number of connections, one transaction per connection.
///
/// An answer that depends on log entries is delayed until a majority of the group's
/// servers hold them, so that a failover cannot undo what a client has seen.
class server_pool : public QObject {
public:
    using answer_handler = std::function<void(execute_answer)>;

    /// \param server address and limits
    /// \param database name of the server's group
    /// \param ranks slot floor and queue limit of each rank
    server_pool(const fleet::server& server, const std::string& database,
                const std::array<fleet::rank_target, rank_count>& ranks, answer_handler on_answer);

    /// Runs or queues a request; the handler is called exactly once for it.
    void execute(const execute_request& request);

    /// Closes the binding's connection, which makes the server roll its transaction back.
    void release(binding_id binding);

    /// Applies the group's current state: whether the server answers and whether it is the
    /// group's primary.
    ///
    /// If the server does not answer, queued requests are refused so that their sessions
    /// route them again. Writes sent to a replaced primary fail, because no majority can
    /// confirm them any more.
    void update(bool reachable, term known_term, bool is_primary);

private:
    /// A connection and the request that it runs.
    struct pool_entry {
        std::unique_ptr<backend::connection> connection;
        std::optional<execute_request> request;
        execute_answer answer;
        binding_id binding;
        time_point started{};
        log_position commit_before;
        log_position required; ///< a majority must hold this before the answer is sent
        bool waits_for_majority{false};
        bool commit_sent{false};
    };

    void dispatch();
    void open_connection();
    void start(pool_entry& entry, execute_request request);
    void start_with_key(pool_entry& entry);
    void run_work(pool_entry& entry);
    void on_work_answer(pool_entry& entry, backend::work_answer answer);
    void finish_with_key(pool_entry& entry);
    void confirm(pool_entry& entry);
    void check_majority(pool_entry& entry);
    void finish(pool_entry& entry);
    void fail_request(pool_entry& entry, const std::string& reason);
    void expire();
    void refuse_queue(const std::string& reason);
    void fail_pending_writes();
    void remove_closed();
    void free_slot(const pool_entry& entry, bool ok);
    void refuse(const execute_request& request, const std::string& reason,
                std::optional<duration> retry_after = std::nullopt);
    [[nodiscard]] pool_entry* find_idle();
    [[nodiscard]] pool_entry* find_binding(binding_id binding);

    fleet::server m_server;
    std::string m_database;
    answer_handler m_on_answer;
    std::vector<std::unique_ptr<pool_entry>> m_entries;
    request_queue m_queue;
    QTimer m_expiry;
    std::uint64_t m_next_binding{1};
    term m_known_term;
    bool m_reachable{true};
    bool m_is_primary{false};
    bool m_connecting{false};
    time_point m_connect_after{};
};

} // namespace gypsumstep::daemon
