/// \file
/// The HTTP/JSON front of the platform stand-in, with settable faults.
///
/// - GET, PUT /table/KEY: one row; a PUT names the version that it expects
/// - POST /table: several conditional writes, all or none
/// - GET, PUT /objects/NAME: bytes
/// - GET, PUT /vms: the list of VMs; a GET lags behind the last PUT
/// - POST /faults: delay, outage, lost answers, lag of the VM list
/// - GET /counters: reads and writes of table and objects so far
#pragma once

#include "platform_store.h"

#include <QHttpServer>
#include <QHttpServerResponder>

#include <cstdint>
#include <string>

namespace gypsumstep::standin {

/// How the stand-in misbehaves.
struct platform_faults {
    std::int64_t delay_ms{0};       ///< answers wait this long; effects do not
    std::int64_t vm_list_lag_ms{0}; ///< a changed VM list shows after this time
    bool outage{false};             ///< everything but /faults and /counters answers 503
    bool lose_answers{false};       ///< writes take effect, then the connection is closed

    friend bool operator==(const platform_faults&, const platform_faults&) = default;
};

/// How many requests reached the store.
struct platform_counters {
    std::uint64_t reads{0};
    std::uint64_t writes{0};

    friend bool operator==(const platform_counters&, const platform_counters&) = default;
};

/// Serves a platform_store on one address. Lives in one thread's Qt event loop.
class platform_server {
public:
    platform_server();

    /// Listens; \p port 0 chooses a free one. Returns the port, or 0 if it failed.
    [[nodiscard]] std::uint16_t listen(const std::string& address, std::uint16_t port);

    void set_faults(const platform_faults& faults) { m_faults = faults; }
    [[nodiscard]] platform_counters counters() const { return m_counters; }
    [[nodiscard]] platform_store& store() { return m_store; }

private:
    struct answer {
        QHttpServerResponder::StatusCode status{QHttpServerResponder::StatusCode::Ok};
        std::string body;
        std::string type{"application/json"};
        bool is_write{false};
    };

    void handle(const QHttpServerRequest& request, QHttpServerResponder&& responder);
    void respond(answer value, QHttpServerResponder&& responder);
    answer dispatch(const QHttpServerRequest& request);
    answer control(const std::string& path, const std::string& body);
    answer read(const std::string& path);
    answer write(const std::string& path, const std::string& body);
    answer write_row(const std::string& key, const nlohmann::json& request);
    answer write_rows(const nlohmann::json& request);
    answer set_vms(nlohmann::json list);

    platform_store m_store;
    platform_faults m_faults;
    platform_counters m_counters;
    nlohmann::json m_vms = nlohmann::json::array();
    QHttpServer m_server; // last: its handlers use the members above
};

} // namespace gypsumstep::standin
