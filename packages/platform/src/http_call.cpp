#include "http_call.h"

#include <QNetworkRequest>
#include <QTimer>
#include <QUrl>

#include <algorithm>
#include <cstring>
#include <utility>

namespace gypsumstep::platform::detail {
namespace {

constexpr int first_server_error = 500;
constexpr int service_unavailable = 503;
constexpr int first_status_of_errors = 300;
constexpr int not_found_status = 404;
constexpr int conflict_status = 409;

error to_error(const QNetworkReply& reply, const http_call& call)
{
    const std::string text =
        call.method + " " + call.url + ": " + reply.errorString().toStdString();
    switch (reply.error()) {
    case QNetworkReply::ConnectionRefusedError:
    case QNetworkReply::HostNotFoundError:
        return {error_code::unavailable, text};
    default:
        return {error_code::timeout, text};
    }
}

error to_error(int status, const http_call& call)
{
    const std::string text = call.method + " " + call.url + ": status " + std::to_string(status);
    if (status == not_found_status) {
        return {error_code::not_found, text};
    }
    // Only 503 says that nothing ran; a gateway's 502 or 504 does not.
    if (status == service_unavailable || (status >= first_server_error && !call.is_write)) {
        return {error_code::unavailable, text};
    }
    if (status >= first_server_error) {
        return {error_code::timeout, text};
    }
    return {error_code::invalid_argument, text};
}

} // namespace

one_shot_body::one_shot_body(QByteArray bytes, QObject* parent)
    : QIODevice{parent}, m_bytes{std::move(bytes)}
{
    open(QIODevice::ReadOnly);
}

qint64 one_shot_body::bytesAvailable() const
{
    return m_bytes.size() - m_read + QIODevice::bytesAvailable();
}

qint64 one_shot_body::readData(char* data, qint64 limit)
{
    const qint64 size = std::min<qint64>(limit, m_bytes.size() - m_read);
    if (size <= 0) {
        return -1;
    }
    std::memcpy(data, m_bytes.constData() + m_read, static_cast<std::size_t>(size));
    m_read += size;
    return size;
}

qint64 one_shot_body::writeData(const char* /*data*/, qint64 /*size*/)
{
    return -1;
}

QNetworkReply* send(QNetworkAccessManager& network, const http_call& call)
{
    QNetworkRequest request{QUrl::fromEncoded(QByteArray::fromStdString(call.url))};
    request.setAttribute(QNetworkRequest::RedirectPolicyAttribute,
                         QNetworkRequest::ManualRedirectPolicy);
    if (!call.is_write) {
        return network.get(request);
    }
    const QByteArray body = QByteArray::fromStdString(call.body);
    request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
    request.setHeader(QNetworkRequest::ContentLengthHeader, body.size());
    request.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    auto* device = new one_shot_body{body, nullptr};
    QNetworkReply* reply =
        call.method == "PUT" ? network.put(request, device) : network.post(request, device);
    device->setParent(reply);
    return reply;
}

result<http_answer> interpret(QNetworkReply& reply, const http_call& call)
{
    const QVariant status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute);
    const QVariant length = reply.header(QNetworkRequest::ContentLengthHeader);
    const QByteArray body = reply.isOpen() ? reply.readAll() : QByteArray{};
    // An HTTP error status is an answer; a connection that broke off is none.
    const bool whole = length.isValid() ? body.size() == length.toLongLong()
                                        : reply.error() == QNetworkReply::NoError;
    if (!status.isValid() || !whole) {
        return to_error(reply, call);
    }
    const int code = status.toInt();
    if (code >= first_status_of_errors && code != conflict_status) {
        return to_error(code, call);
    }
    return http_answer{code, body.toStdString()};
}

bool may_repeat(const http_call& call, QNetworkReply::NetworkError error)
{
    return !call.is_write || error == QNetworkReply::ConnectionRefusedError;
}

std::string encode_path(const std::string& name)
{
    return QUrl::toPercentEncoding(QString::fromStdString(name), "/").toStdString();
}

} // namespace gypsumstep::platform::detail
