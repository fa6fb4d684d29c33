/// \file
/// Calls over one HTTP/1.1 connection, one after the other.
#pragma once

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

/// Sends requests in their order. A call without an answer in time ends its connection,
/// since answers behind it would be lost or taken for another call's.
class http_caller : public QObject {
public:
    /// The response, or error_code::unavailable if the request was not sent, or
    /// error_code::timeout if it may have been performed.
    using handler = std::function<void(const result<adapter::http_response>&)>;

    http_caller(std::string host, std::uint16_t port);
    ~http_caller() override;
    http_caller(const http_caller&) = delete;
    http_caller& operator=(const http_caller&) = delete;

    /// Queues a call. \p limit runs from the moment at which it is sent.
    void call(adapter::http_request request, duration limit, handler done);

    [[nodiscard]] std::size_t pending() const { return m_calls.size(); }

private:
    struct pending_call {
        adapter::http_request request;
        duration limit{0};
        handler done;
    };
    struct parser;

    void send_next();
    void write_request();
    void read();
    void end_call(const result<adapter::http_response>& response);
    void fail(const std::string& cause);
    void reset_socket();

    std::string m_host;
    std::uint16_t m_port;
    std::deque<pending_call> m_calls;
    QTcpSocket* m_socket{nullptr};
    QTimer m_limit;
    std::unique_ptr<parser> m_parser;
    bool m_sent{false};
};

} // namespace gypsumstep::edge
