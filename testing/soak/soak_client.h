/// \file
/// A client that runs random operations through the daemons and reports their outcomes to the
/// oracle.
#pragma once

#include "oracle.h"

#include "gypsumstep/adapter/server_codec.h"
#include "gypsumstep/base/random.h"

#include <QTcpSocket>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gypsumstep::soak {

/// A database name and the freshness rule of its route.
struct soak_route {
    std::string database;
    read_rule rule{read_rule::everything};

    friend bool operator==(const soak_route&, const soak_route&) = default;
};

/// A client with one session at a time.
class soak_client : public QObject {
public:
    /// Returns the port of the daemon that the next session connects to.
    using choose_port = std::function<std::uint16_t()>;

    soak_client(std::uint64_t number, std::uint64_t seed, soak_route route, choose_port port,
                oracle& run_oracle);

    ~soak_client() override;
    soak_client(const soak_client&) = delete;
    soak_client& operator=(const soak_client&) = delete;

    /// Ends the client after its current operation.
    void stop() { m_stopping = true; }

    /// Number of successful operations, for those with and without writes.
    [[nodiscard]] std::uint64_t reads_done() const { return m_reads_done; }
    [[nodiscard]] std::uint64_t writes_done() const { return m_writes_done; }

private:
    /// One statement of an operation.
    struct step {
        std::string text;        ///< as the client sends it
        std::string server_text; ///< as a server runs it; see sent_statement::text
        std::string shape;
        bool forwarded{false}; ///< a server runs it; the daemon answers the others itself
        bool writes{false};

        friend bool operator==(const step&, const step&) = default;
    };

    void open_session();
    void plan_operation();
    void plan_prepared(bool writes);
    void send_next();
    void read();
    void on_answer(const statement::answer& content);
    void on_step_done(const statement::answer& content);
    void disconnect_early();
    void fail_operation(attempt_outcome outcome);
    void end_operation(attempt_outcome outcome);
    void lose_session();
    void run_after_pause(duration longest, std::function<void()> action);

    std::uint64_t m_number;
    random_source m_random;
    soak_route m_route;
    choose_port m_port;
    oracle& m_oracle;
    std::unique_ptr<QTcpSocket> m_socket;
    adapter::server_decoder m_decoder; ///< servers and daemons use the same form of answers
    bool m_started{false};
    bool m_waiting{false};
    bool m_stopping{false};
    std::uint64_t m_generation{0}; ///< number of the session; timers of earlier ones do nothing
    std::uint64_t m_session{0};
    std::uint64_t m_attempt{0};
    std::uint64_t m_next_id{1};
    std::vector<step> m_steps;
    std::size_t m_next_step{0};
    std::string m_pending_id;
    bool m_in_transaction{false};
    bool m_wrote{false};       ///< a write of this operation was sent
    bool m_commit_sent{false}; ///< a statement was sent that may commit a write
    std::chrono::steady_clock::time_point m_began_at{};
    std::chrono::steady_clock::time_point m_sent_at{}; ///< when the pending statement was sent
    std::map<std::string, std::string> m_values;
    std::uint64_t m_reads_done{0};
    std::uint64_t m_writes_done{0};
};

} // namespace gypsumstep::soak
