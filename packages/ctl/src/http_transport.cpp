#include "http_transport.h"

#include <QEventLoop>
#include <QNetworkProxy>
#include <QNetworkReply>
#include <QNetworkRequest>

#include <algorithm>
#include <chrono>
#include <memory>
#include <thread>
#include <utility>

namespace gypsumstep::ctl {

namespace {

/// True if the error shows that no byte of the request was sent.
bool was_never_sent(QNetworkReply::NetworkError code)
{
    return code == QNetworkReply::ConnectionRefusedError ||
           code == QNetworkReply::HostNotFoundError || code == QNetworkReply::ProtocolUnknownError;
}

answer to_answer(QNetworkReply& reply)
{
    answer result;
    const auto status = reply.attribute(QNetworkRequest::HttpStatusCodeAttribute);
    // An answer cut off in the middle still has a status: its body cannot be relied on.
    const bool is_whole = status.isValid() && (reply.error() == QNetworkReply::NoError ||
                                               reply.error() > QNetworkReply::ProxyTimeoutError);
    if (is_whole) {
        result.how = delivery::answered;
        result.http_status = status.toInt();
        result.body = reply.readAll().toStdString();
        return result;
    }
    result.how = was_never_sent(reply.error()) ? delivery::unreachable : delivery::lost;
    result.problem = reply.errorString().toStdString();
    return result;
}

} // namespace

http_transport::http_transport(const std::string& daemon, std::string key, duration timeout)
    : m_base{QString::fromStdString("http://" + daemon), QUrl::StrictMode}, m_key{std::move(key)},
      m_timeout{timeout}
{
    m_manager.setProxy(QNetworkProxy::NoProxy);
}

answer http_transport::send(const request& message)
{
    const QUrl target = m_base.resolved(QUrl{QString::fromStdString(message.path)});
    QNetworkRequest outgoing{target};
    const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::max(m_timeout, message.patience));
    outgoing.setTransferTimeout(static_cast<int>(timeout.count()));
    if (!m_key.empty()) {
        outgoing.setRawHeader("Authorization", QByteArray::fromStdString("Bearer " + m_key));
    }
    std::unique_ptr<QNetworkReply> reply;
    if (message.verb == method::get) {
        reply.reset(m_manager.get(outgoing));
    }
    else {
        outgoing.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
        reply.reset(m_manager.post(outgoing, QByteArray::fromStdString(message.body.dump())));
    }
    QEventLoop loop;
    QObject::connect(reply.get(), &QNetworkReply::finished, &loop, &QEventLoop::quit);
    loop.exec();
    return to_answer(*reply);
}

void http_transport::pause(duration length)
{
    std::this_thread::sleep_for(length);
}

} // namespace gypsumstep::ctl
