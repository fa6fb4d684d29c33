/// \file
/// Asynchronous client of the platform over HTTP/JSON.
#pragma once

#include "gypsumstep/base/error.h"
#include "gypsumstep/base/random.h"
#include "gypsumstep/platform/budget.h"
#include "gypsumstep/platform/types.h"

#include <QNetworkAccessManager>
#include <QObject>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gypsumstep::platform {

namespace detail {
struct http_answer;
struct http_call;
} // namespace detail

/// Where the platform is and how much of it this daemon may use.
struct client_options {
    std::string url;                  ///< e.g. "http://10.0.0.1:8080", without a final '/'
    duration read_timeout{2'000'000}; ///< of one attempt
    duration write_timeout{5'000'000};
    std::uint32_t attempts{3}; ///< most attempts of one request, at least 1
    backoff_limits wait{};     ///< between attempts
    budget_limits reads{20.0, 40.0};
    budget_limits writes{5.0, 20.0};
    std::uint64_t answer_limit{64U << 20U}; ///< bytes; a longer answer is an error

    friend bool operator==(const client_options&, const client_options&) = default;
};

/// Requests sent so far, every attempt counted.
struct client_counters {
    std::uint64_t reads{0};
    std::uint64_t writes{0};
    std::uint64_t over_budget{0}; ///< attempts not sent because the budget was used up

    friend bool operator==(const client_counters&, const client_counters&) = default;
};

/// Sends typed requests to the platform.
///
/// Lives in one thread with a Qt event loop; handlers run there, each once, and
/// none after the client is destroyed. Reads are sent again after a failure, with
/// back-off and within the budget. A write is sent again only if the connection
/// was refused, since then it was never sent. Errors:
/// - unavailable: cannot be reached or not serving; a write did not run
/// - timeout: no answer; whether a write took effect is unknown
/// - refused: over the budget; not sent
/// - not_found, invalid_argument: as the platform answered
class client {
public:
    template <class T>
    using handler = std::function<void(result<T>)>;

    client(client_options options, std::uint64_t seed);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Reads a row; not_found if it is absent.
    void get(const std::string& key, handler<table_row> done);

    /// Writes one row if it has the expected version.
    void compare_and_set(const table_write& write, handler<write_outcome> done);

    /// Applies all writes if every row has its expected version, else none.
    void transact(const std::vector<table_write>& writes, handler<write_outcome> done);

    /// Reads an object's bytes.
    void get_object(const std::string& name, handler<std::string> done);

    /// Creates or replaces an object; the handler receives its name.
    void put_object(const std::string& name, const std::string& bytes, handler<std::string> done);

    /// Reads the lagging list of VMs.
    void list_vms(handler<std::vector<vm_entry>> done);

    [[nodiscard]] client_counters counters() const;

private:
    using call_ptr = std::shared_ptr<detail::http_call>;
    using answer_handler = std::function<void(const result<detail::http_answer>&)>;

    void start_read(const std::string& path, answer_handler done);
    void start_write(const char* method, const std::string& path, std::string body,
                     answer_handler done);
    void attempt(const call_ptr& call);

    client_options m_options;
    random_source m_random;
    budget m_read_budget;
    budget m_write_budget;
    QObject m_context; ///< its destruction ends pending timers and handlers
    QNetworkAccessManager m_network;
};

} // namespace gypsumstep::platform
