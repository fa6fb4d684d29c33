/// \file
/// A database group of the users' platform: a primary and two replicas that speak the line protocol
/// on the loopback interface, with the replication, pauses and promotions that the pages describe.
#pragma once

#include "gypsumstep/adapter/client_codec.h"

#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace review {

/// Behaviour of all servers of a group.
struct group_options {
    std::string service{"ledger"};
    std::uint32_t sync_replicas{0};
    /// How long after the primary each replica receives a commit. Varies with the time within these
    /// limits, for each replica on its own.
    std::chrono::milliseconds min_lag{5};
    std::chrono::milliseconds max_lag{35};
    std::chrono::milliseconds promotion_time{1000};
    std::size_t read_rows{1}; ///< rows in the answer to a read
    std::size_t row_bytes{12};
    std::chrono::milliseconds read_time{3}; ///< time that a server works on a read
};

/// What the group reports.
struct group_events {
    std::function<void(const std::string&)> note;
    /// A server leads; receives its name and the ids of the writes in its log.
    std::function<void(const std::string&, const std::set<std::string>&)> promoted;
    /// A server ran a statement of a client.
    std::function<void(const std::string& server, const std::string& id)> ran;
};

class sim_group : public QObject {
public:
    static constexpr std::size_t server_count = 3;

    sim_group(group_options options, group_events events);
    ~sim_group() override;

    [[nodiscard]] const std::string& name_of(std::size_t server) const;
    [[nodiscard]] std::uint16_t port_of(std::size_t server) const;
    [[nodiscard]] bool is_primary(std::size_t server) const;
    [[nodiscard]] bool is_paused(std::size_t server) const;
    [[nodiscard]] std::size_t primary() const;
    [[nodiscard]] std::set<std::string> log_of(std::size_t server) const;

    /// A dark server handles nothing and sends nothing; what it received is handled afterwards.
    void set_dark(std::size_t server, bool dark);

    /// Names the server that leads the next term, after the promotion time.
    bool promote(const std::string& name);

private:
    struct entry {
        std::uint64_t term{0};
        std::vector<std::string> ids;
        bool operator==(const entry&) const = default;
    };
    struct server;
    struct connection {
        std::uint64_t id{0};
        server* owner{nullptr};
        QTcpSocket* socket{nullptr};
        gypsumstep::adapter::line_splitter splitter;
        std::deque<std::string> lines;
        bool busy{false};
        bool started{false};
        bool in_transaction{false};
        bool read_only{false};
        bool failed{false};
        bool lost_lead{false};
        std::vector<std::string> writes;
        std::map<std::string, std::string> prepared; ///< names, with the access word only
    };
    struct server {
        std::string name;
        std::size_t index{0};
        QTcpServer listener;
        std::map<std::uint64_t, std::unique_ptr<connection>> connections;
        std::vector<entry> log;
        std::uint64_t known_term{1};
        bool leads{false};
        bool dark{false};
        bool paused{false};
        std::chrono::milliseconds lag{0}; ///< at present
    };
    /// A commit whose answer waits until enough replicas have received it.
    struct waiting_commit {
        server* owner{nullptr};
        std::uint64_t connection{0};
        std::string id;
        std::size_t length{0};
    };

    void accept(server& member);
    void read(connection& conn);
    void run_next(connection& conn);
    void run(connection& conn, const std::string& line);
    void run_text(connection& conn, const std::string& id, std::string text);
    void run_data(connection& conn, const std::string& id, bool is_read);
    void run_command(connection& conn, const std::string& word, std::uint64_t term);
    void commit(connection& conn, const std::string& id, std::vector<std::string> ids);
    void finish(connection& conn);
    void answer(connection& conn, const std::vector<std::string>& rows, bool is_signed);
    void refuse(connection& conn, gypsumstep::statement::error_class kind);
    void close(connection& conn);
    void schedule_receipt(server& replica, std::size_t length);
    void receive(server& replica, std::size_t length);
    void answer_commits();
    void become_primary(server& next);
    void vary_lag();
    [[nodiscard]] std::string position_of(const server& member) const;

    group_options m_options;
    group_events m_events;
    std::mt19937_64 m_random{std::random_device{}()};
    std::vector<std::unique_ptr<server>> m_servers;
    std::vector<waiting_commit> m_waiting;
    std::map<std::uint64_t, std::size_t> m_term_starts{{1, 0}};
    std::uint64_t m_next{1};
    QTimer m_lag_timer;
};

} // namespace review
