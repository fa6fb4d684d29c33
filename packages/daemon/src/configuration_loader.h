/// \file
/// Fetches the configuration in force from the platform when the daemon starts.
#pragma once

#include "gypsumstep/fleet/document.h"

#include <QNetworkAccessManager>
#include <QObject>
#include <QTimer>

#include <functional>
#include <string>

namespace gypsumstep::daemon {

/// Asks the platform until it has answered with a valid configuration.
class configuration_loader : public QObject {
public:
    using handler = std::function<void(fleet::document)>;

    /// \param platform_url base of the platform's HTTP interface
    configuration_loader(const std::string& platform_url, handler on_loaded);

private:
    void fetch_head();
    void fetch_document(const QString& object);
    void retry(const std::string& reason);

    QString m_url;
    handler m_on_loaded;
    QNetworkAccessManager m_network;
    QTimer m_retry;
};

} // namespace gypsumstep::daemon
