#include "load/load_run.h"

#include "gypsumstep/base/random.h"

#include <libpq-fe.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <deque>
#include <memory>
#include <vector>

namespace gypsumstep::load {

namespace {

constexpr duration drain_time = 5s; // longest wait for answers after the last arrival
constexpr int max_events_per_wait = 256;

time_point now()
{
    const auto since_epoch = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since_epoch)};
}

struct close_connection {
    void operator()(PGconn* connection) const { PQfinish(connection); }
};

using connection_ptr = std::unique_ptr<PGconn, close_connection>;

/// One connection and the statement that it runs.
struct worker {
    connection_ptr connection;
    time_point scheduled;
    bool busy{false};
    bool failed{false};
};

/// Generates arrivals and runs each on an idle connection, or queues it until one is idle.
class generator {
public:
    explicit generator(const load_settings& settings)
        : m_settings{settings}, m_random{settings.seed}, m_epoll{epoll_create1(0)}
    {
    }
    generator(const generator&) = delete;
    generator& operator=(const generator&) = delete;
    ~generator() { close(m_epoll); }

    result<load_result> run()
    {
        if (result<void> opened = open_connections(); !opened) {
            return opened.error();
        }
        const time_point start = now();
        const time_point end = start + m_settings.length;
        time_point next_arrival = start + interval();
        while (now() < end + drain_time && (next_arrival < end || pending() > 0)) {
            for (; next_arrival < end && next_arrival <= now(); next_arrival += interval()) {
                m_waiting.push_back(next_arrival);
                m_result.offered += 1;
            }
            start_waiting();
            const time_point wait_end = next_arrival < end ? next_arrival : end + drain_time;
            handle_answers(wait_end - now());
        }
        m_result.unanswered = pending();
        m_result.elapsed = now() - start;
        return std::move(m_result);
    }

private:
    [[nodiscard]] duration interval()
    {
        const duration mean{static_cast<duration::rep>(1e6 / m_settings.rate)};
        return m_random.exponential(std::max(mean, duration{1}));
    }

    [[nodiscard]] std::size_t pending() const
    {
        return m_waiting.size() + m_workers.size() - m_idle.size() - m_broken_count;
    }

    result<void> open_connections()
    {
        const std::string port = std::to_string(m_settings.port);
        const std::array<const char*, 8> keys{
            "host", "port", "user", "dbname", "options", "sslmode", "connect_timeout", nullptr};
        const std::array<const char*, 8> values{
            m_settings.host.c_str(),    port.c_str(), "load", m_settings.database.c_str(),
            m_settings.options.c_str(), "disable",    "5",    nullptr};
        m_workers.resize(static_cast<std::size_t>(m_settings.connections));
        for (worker& opened_worker : m_workers) {
            opened_worker.connection.reset(PQconnectdbParams(keys.data(), values.data(), 0));
            if (PQstatus(opened_worker.connection.get()) != CONNECTION_OK) {
                return error{error_code::unavailable,
                             PQerrorMessage(opened_worker.connection.get())};
            }
            PQsetnonblocking(opened_worker.connection.get(), 1);
            epoll_event event{};
            event.events = EPOLLIN;
            event.data.ptr = &opened_worker;
            epoll_ctl(m_epoll, EPOLL_CTL_ADD, PQsocket(opened_worker.connection.get()), &event);
            m_idle.push_back(&opened_worker);
        }
        return boost::outcome_v2::success();
    }

    void start_waiting()
    {
        while (!m_waiting.empty() && !m_idle.empty()) {
            worker& chosen = *m_idle.front();
            m_idle.pop_front();
            chosen.scheduled = m_waiting.front();
            m_waiting.pop_front();
            chosen.busy = true;
            chosen.failed = false;
            const bool write = m_random.chance(m_settings.write_share);
            const std::string& statement = write ? m_settings.write : m_settings.read;
            if (PQsendQuery(chosen.connection.get(), statement.c_str()) == 0 ||
                PQflush(chosen.connection.get()) < 0) {
                drop(chosen);
            }
        }
    }

    void handle_answers(duration wait)
    {
        std::array<epoll_event, max_events_per_wait> events{};
        // epoll_wait() takes whole milliseconds. The wait is rounded down, and below one
        // millisecond it polls without sleeping, to keep the schedule of arrivals.
        const auto milliseconds =
            std::chrono::duration_cast<std::chrono::milliseconds>(std::max(wait, duration{0}));
        const int count = epoll_wait(m_epoll, events.data(), max_events_per_wait,
                                     static_cast<int>(milliseconds.count()));
        for (int i = 0; i < count; ++i) {
            read_answer(*static_cast<worker*>(events[static_cast<std::size_t>(i)].data.ptr));
        }
    }

    void read_answer(worker& source)
    {
        if (PQconsumeInput(source.connection.get()) == 0) {
            drop(source);
            return;
        }
        while (source.busy && PQisBusy(source.connection.get()) == 0) {
            PGresult* const answer = PQgetResult(source.connection.get());
            if (answer == nullptr) {
                finish(source);
                return;
            }
            const ExecStatusType status = PQresultStatus(answer);
            if (status != PGRES_TUPLES_OK && status != PGRES_COMMAND_OK) {
                source.failed = true;
                record_error(PQresultErrorMessage(answer));
            }
            PQclear(answer);
        }
    }

    void finish(worker& finished)
    {
        if (finished.failed) {
            m_result.errors += 1;
        }
        else {
            m_result.latencies.add(now() - finished.scheduled);
        }
        finished.busy = false;
        m_idle.push_back(&finished);
    }

    void drop(worker& broken)
    {
        record_error(PQerrorMessage(broken.connection.get()));
        m_result.errors += broken.busy ? 1 : 0;
        epoll_ctl(m_epoll, EPOLL_CTL_DEL, PQsocket(broken.connection.get()), nullptr);
        std::erase(m_idle, &broken);
        broken.busy = false;
        m_broken_count += 1;
    }

    void record_error(const char* text)
    {
        if (m_result.first_error.empty()) {
            m_result.first_error = text;
        }
    }

    load_settings m_settings;
    random_source m_random;
    int m_epoll;
    std::vector<worker> m_workers;
    std::deque<worker*> m_idle;
    std::deque<time_point> m_waiting; // scheduled times of the queued arrivals
    std::size_t m_broken_count{0};
    load_result m_result;
};

} // namespace

result<load_result> run_load(const load_settings& settings)
{
    return generator{settings}.run();
}

} // namespace gypsumstep::load
