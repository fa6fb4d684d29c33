/// \file
/// Carries requests over HTTP by Qt.
#pragma once

#include "gypsumstep/ctl/exchange.h"

#include <QNetworkAccessManager>
#include <QUrl>

#include <string>

namespace gypsumstep::ctl {

/// Sends requests to one daemon, one at a time. Needs a QCoreApplication.
class http_transport {
public:
    /// \p key is sent as a bearer token; empty: none.
    http_transport(const std::string& daemon, std::string key, duration timeout);

    /// True if the daemon's address could be understood.
    [[nodiscard]] bool is_valid() const { return m_base.isValid() && m_base.port() > 0; }

    answer send(const request& message);
    void pause(duration length);

private:
    QNetworkAccessManager m_manager;
    QUrl m_base;
    std::string m_key;
    duration m_timeout;
};

} // namespace gypsumstep::ctl
