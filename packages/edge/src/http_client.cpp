#include "http_client.h"

#include "socket_options.h"

#include <QHostAddress>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <sstream>
#include <utility>

namespace gypsumstep::edge {
namespace {

namespace http = boost::beast::http;

constexpr std::uint32_t first_error_status = 500;

/// Returns the era that a response tells; 0 if it tells none.
std::uint64_t era_of(const http::response<http::string_body>& response)
{
    const auto field = response.find(adapter::era_header);
    if (field == response.end()) {
        return 0;
    }
    return QByteArray::fromRawData(field->value().data(),
                                   static_cast<qsizetype>(field->value().size()))
        .trimmed()
        .toULongLong();
}

/// Largest response body that is accepted, in bytes. The store sends at most 1 MB of rows.
constexpr std::uint64_t max_answer_bytes = 8U << 20U;

constexpr keepalive_settings store_keepalive{1, 1, 2, 2000};

std::string serialize(const adapter::http_request& request, const std::string& host)
{
    http::request<http::string_body> message{http::string_to_verb(request.method), request.target,
                                             11};
    message.set(http::field::host, host);
    for (const auto& [name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    std::ostringstream text;
    text << message;
    return text.str();
}

} // namespace

struct http_client::parser {
    http::response_parser<http::string_body> response;
    std::string unparsed;

    parser()
    {
        response.eager(true);
        response.body_limit(max_answer_bytes);
    }
};

http_client::http_client(std::string host, std::uint16_t port, store_era* era)
    : m_host{std::move(host)}, m_port{port}, m_era{era}
{
    m_call_timer.setSingleShot(true);
    connect(&m_call_timer, &QTimer::timeout, this, [this] { fail_call("no answer in time"); });
}

http_client::~http_client() = default;

void http_client::call(adapter::http_request request, duration timeout, handler on_response)
{
    m_pending_calls.push_back({std::move(request), timeout, std::move(on_response)});
    if (m_pending_calls.size() == 1) {
        send_next();
    }
}

void http_client::send_next()
{
    if (m_pending_calls.empty()) {
        return;
    }
    m_request_sent = false;
    m_parser = std::make_unique<parser>();
    m_call_timer.start(
        std::chrono::ceil<std::chrono::milliseconds>(m_pending_calls.front().timeout));
    if (m_socket != nullptr && m_socket->state() == QAbstractSocket::ConnectedState) {
        write_request();
        return;
    }
    reset_socket();
    m_socket = new QTcpSocket{this};
    connect(m_socket, &QTcpSocket::connected, this, [this] {
        set_socket_options(*m_socket, store_keepalive);
        write_request();
    });
    connect(m_socket, &QTcpSocket::readyRead, this, [this] { read(); });
    connect(m_socket, &QTcpSocket::errorOccurred, this, [this] {
        const std::string cause = m_socket->errorString().toStdString();
        if (m_pending_calls.empty()) {
            reset_socket();
            return;
        }
        fail_call(cause);
    });
    m_socket->connectToHost(QHostAddress{QString::fromStdString(m_host)}, m_port);
}

void http_client::write_request()
{
    if (m_pending_calls.empty()) {
        return;
    }
    m_request_sent = true;
    const std::string text =
        serialize(m_pending_calls.front().request, m_host + ':' + std::to_string(m_port));
    m_socket->write(text.data(), static_cast<qint64>(text.size()));
    m_socket->flush();
}

void http_client::read()
{
    const QByteArray bytes = m_socket->readAll();
    if (m_pending_calls.empty() || !m_parser) {
        // Bytes that belong to no call: later responses could not be matched to their calls.
        reset_socket();
        return;
    }
    m_parser->unparsed.append(bytes.data(), static_cast<std::size_t>(bytes.size()));
    auto& response = m_parser->response;
    while (!response.is_done() && !m_parser->unparsed.empty()) {
        boost::system::error_code problem;
        const std::size_t consumed = response.put(boost::asio::buffer(m_parser->unparsed), problem);
        m_parser->unparsed.erase(0, consumed);
        if (problem == http::error::need_more) {
            return;
        }
        if (problem) {
            fail_call("malformed answer: " + problem.message());
            return;
        }
    }
    if (!response.is_done()) {
        return;
    }
    const bool keep_alive = response.keep_alive();
    adapter::http_response content;
    content.status = response.get().result_int();
    content.era = era_of(response.get());
    content.body = std::move(response.get().body());
    if (!keep_alive) {
        reset_socket();
    }
    finish_call(content);
}

void http_client::finish_call(const result<adapter::http_response>& response)
{
    m_call_timer.stop();
    m_parser.reset();
    const pending_call ended_call = std::move(m_pending_calls.front());
    m_pending_calls.pop_front();
    const std::uint64_t cancelled_before = m_cancelled;
    m_reporting = true;
    const bool current = is_current(response);
    m_reporting = false;
    if (m_cancelled != cancelled_before) {
        // The response brought a new era, in which this call was not planned.
        return;
    }
    send_next();
    if (current) {
        ended_call.on_response(response);
    }
    else {
        ended_call.on_response(
            error{error_code::unavailable, "the answer belongs to an earlier era of the store"});
    }
}

bool http_client::is_current(const result<adapter::http_response>& response) const
{
    if (m_era == nullptr || response.has_error()) {
        return true;
    }
    const adapter::http_response& answer = response.value();
    // An error without an era may come from something before the store.
    return (answer.era == 0 && answer.status >= first_error_status) || m_era->observe(answer.era);
}

void http_client::fail_call(const std::string& cause)
{
    if (m_pending_calls.empty()) {
        return;
    }
    reset_socket();
    const error problem{m_request_sent ? error_code::timeout : error_code::unavailable, cause};
    finish_call(problem);
}

std::size_t http_client::cancel()
{
    const std::size_t dropped = m_pending_calls.size() + (m_reporting ? 1 : 0);
    ++m_cancelled;
    m_call_timer.stop();
    m_pending_calls.clear();
    m_parser.reset();
    reset_socket();
    return dropped;
}

void http_client::reset_socket()
{
    if (m_socket == nullptr) {
        return;
    }
    m_socket->disconnect(this);
    m_socket->abort();
    m_socket->deleteLater();
    m_socket = nullptr;
}

} // namespace gypsumstep::edge
