/// \file
/// HTTP/1.1 client that sends its requests one after the other over one connection.
#pragma once

#include "store_era.h"

#include "gypsumstep/adapter/store_calls.h"
#include "gypsumstep/base/error.h"
#include "gypsumstep/base/time.h"

#include <QTcpSocket>
#include <QTimer>

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace gypsumstep::edge {

/// Sends requests in the order of the calls, each after the response to the one before. A call
/// that times out closes the connection, since a late response would be taken for the next
/// call's.
///
/// A client of the store reports each response's era before anything else happens, also before the
/// next call is sent, so that a call which was planned in an earlier era can be dropped.
class http_client : public QObject {
public:
    /// Receives the response, or error_code::unavailable if the request was not sent, or
    /// error_code::timeout if it may have been performed.
    using handler = std::function<void(const result<adapter::http_response>&)>;

    /// \param era of the store that is called, if the server is one; must outlive the client
    http_client(std::string host, std::uint16_t port, store_era* era = nullptr);
    ~http_client() override;
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Queues a call. \p timeout starts when the call reaches the front of the queue; connecting
    /// counts towards it.
    void call(adapter::http_request request, duration timeout, handler on_response);

    /// Drops all calls without a response; their handlers are not called. Calls that were sent may
    /// still be performed.
    /// \return the number of dropped calls, including one whose response is being reported
    std::size_t cancel();

    /// Number of calls without a response, including queued ones.
    [[nodiscard]] std::size_t pending() const { return m_pending_calls.size(); }

private:
    struct pending_call {
        adapter::http_request request;
        duration timeout{0};
        handler on_response;
    };
    struct parser;

    void send_next();
    void write_request();
    void read();
    [[nodiscard]] bool is_current(const result<adapter::http_response>& response) const;
    void finish_call(const result<adapter::http_response>& response);
    void fail_call(const std::string& cause);
    void reset_socket();

    std::string m_host;
    std::uint16_t m_port;
    store_era* m_era;
    std::deque<pending_call> m_pending_calls;
    QTcpSocket* m_socket{nullptr};
    QTimer m_call_timer;
    std::unique_ptr<parser> m_parser;
    bool m_request_sent{false};
    bool m_reporting{false};      ///< a response's era is being reported
    std::uint64_t m_cancelled{0}; ///< number of calls of cancel()
};

} // namespace gypsumstep::edge
