#include "http_caller.h"

#include "socket_options.h"

#include <QHostAddress>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <sstream>
#include <utility>

namespace gypsumstep::edge {
namespace {

namespace http = boost::beast::http;

/// Longest answer, in bytes; the store sends at most 1 MB of rows.
constexpr std::uint64_t max_answer_bytes = 8U << 20U;

constexpr liveness store_liveness{1, 1, 2, 2000};

std::string text_of(const adapter::http_request& request, const std::string& host)
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

struct http_caller::parser {
    http::response_parser<http::string_body> response;
    std::string unread;

    parser()
    {
        response.eager(true);
        response.body_limit(max_answer_bytes);
    }
};

http_caller::http_caller(std::string host, std::uint16_t port)
    : m_host{std::move(host)}, m_port{port}
{
    m_limit.setSingleShot(true);
    connect(&m_limit, &QTimer::timeout, this, [this] { fail("no answer in time"); });
}

http_caller::~http_caller() = default;

void http_caller::call(adapter::http_request request, duration limit, handler done)
{
    m_calls.push_back({std::move(request), limit, std::move(done)});
    if (m_calls.size() == 1) {
        send_next();
    }
}

void http_caller::send_next()
{
    if (m_calls.empty()) {
        return;
    }
    m_sent = false;
    m_parser = std::make_unique<parser>();
    m_limit.start(std::chrono::ceil<std::chrono::milliseconds>(m_calls.front().limit));
    if (m_socket != nullptr && m_socket->state() == QAbstractSocket::ConnectedState) {
        write_request();
        return;
    }
    reset_socket();
    m_socket = new QTcpSocket{this};
    connect(m_socket, &QTcpSocket::connected, this, [this] {
        set_options(*m_socket, store_liveness);
        write_request();
    });
    connect(m_socket, &QTcpSocket::readyRead, this, [this] { read(); });
    connect(m_socket, &QTcpSocket::errorOccurred, this, [this] {
        const std::string cause = m_socket->errorString().toStdString();
        if (m_calls.empty()) {
            reset_socket();
            return;
        }
        fail(cause);
    });
    m_socket->connectToHost(QHostAddress{QString::fromStdString(m_host)}, m_port);
}

void http_caller::write_request()
{
    if (m_calls.empty()) {
        return;
    }
    m_sent = true;
    const std::string text =
        text_of(m_calls.front().request, m_host + ':' + std::to_string(m_port));
    m_socket->write(text.data(), static_cast<qint64>(text.size()));
    m_socket->flush();
}

void http_caller::read()
{
    const QByteArray bytes = m_socket->readAll();
    if (m_calls.empty() || !m_parser) {
        // An answer to nothing: what follows cannot be told apart.
        reset_socket();
        return;
    }
    m_parser->unread.append(bytes.data(), static_cast<std::size_t>(bytes.size()));
    auto& response = m_parser->response;
    while (!response.is_done() && !m_parser->unread.empty()) {
        boost::system::error_code problem;
        const std::size_t used = response.put(boost::asio::buffer(m_parser->unread), problem);
        m_parser->unread.erase(0, used);
        if (problem == http::error::need_more) {
            return;
        }
        if (problem) {
            fail("malformed answer: " + problem.message());
            return;
        }
    }
    if (!response.is_done()) {
        return;
    }
    const bool keep = response.keep_alive();
    adapter::http_response content;
    content.status = response.get().result_int();
    content.body = std::move(response.get().body());
    if (!keep) {
        reset_socket();
    }
    end_call(content);
}

void http_caller::end_call(const result<adapter::http_response>& response)
{
    m_limit.stop();
    m_parser.reset();
    const pending_call ended = std::move(m_calls.front());
    m_calls.pop_front();
    send_next();
    ended.done(response);
}

void http_caller::fail(const std::string& cause)
{
    if (m_calls.empty()) {
        return;
    }
    reset_socket();
    const error problem{m_sent ? error_code::timeout : error_code::unavailable, cause};
    end_call(problem);
}

void http_caller::reset_socket()
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
