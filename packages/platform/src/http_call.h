/// \file
/// One HTTP request, sent exactly once for each call of send().
#pragma once

#include "gypsumstep/base/error.h"
#include "gypsumstep/base/time.h"

#include <QIODevice>
#include <QNetworkAccessManager>
#include <QNetworkReply>

#include <cstdint>
#include <functional>
#include <string>

namespace gypsumstep::platform::detail {

/// A status and body that the platform sent in full.
struct http_answer {
    int status{0};
    std::string body;
};

/// A request with all that is needed to send it again.
struct http_call {
    std::string method; ///< GET, PUT or POST
    std::string url;    ///< percent-encoded
    std::string body;
    bool is_write{false};
    duration timeout{};             ///< of one attempt
    std::uint64_t answer_limit{0};  ///< bytes
    std::uint32_t attempts_left{1}; ///< including the next one
    std::uint32_t attempt{0};       ///< counts from 0
    std::function<void(const result<http_answer>&)> done;
};

/// A request body that can be read once.
///
/// QNetworkAccessManager sends a request again by itself when the connection
/// closes before the answer. A write must not be repeated, and a body that
/// cannot be rewound makes it fail instead.
class one_shot_body : public QIODevice {
public:
    one_shot_body(QByteArray bytes, QObject* parent);

    [[nodiscard]] bool isSequential() const override { return true; }
    [[nodiscard]] qint64 bytesAvailable() const override;
    [[nodiscard]] bool reset() override { return false; }

protected:
    qint64 readData(char* data, qint64 limit) override;
    qint64 writeData(const char* data, qint64 size) override;

private:
    QByteArray m_bytes;
    qint64 m_read{0};
};

/// Sends one attempt of \p call.
QNetworkReply* send(QNetworkAccessManager& network, const http_call& call);

/// What a finished reply means for \p call.
[[nodiscard]] result<http_answer> interpret(QNetworkReply& reply, const http_call& call);

/// True if another attempt of \p call cannot make it run twice.
[[nodiscard]] bool may_repeat(const http_call& call, QNetworkReply::NetworkError error);

/// Percent-encodes \p name, except for '/'.
[[nodiscard]] std::string encode_path(const std::string& name);

} // namespace gypsumstep::platform::detail
