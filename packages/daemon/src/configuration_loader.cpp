#include "configuration_loader.h"

#include "gypsumstep/fleet/parse.h"

#include <QNetworkReply>
#include <QNetworkRequest>

#include <nlohmann/json.hpp>

#include <cstdio>

namespace gypsumstep::daemon {
namespace {

constexpr auto retry_interval = std::chrono::milliseconds{500};
constexpr auto request_timeout = std::chrono::milliseconds{2'000};

} // namespace

configuration_loader::configuration_loader(const std::string& platform_url, handler on_loaded)
    : m_url{QString::fromStdString(platform_url)}, m_on_loaded{std::move(on_loaded)}
{
    m_network.setTransferTimeout(request_timeout.count());
    m_retry.setSingleShot(true);
    connect(&m_retry, &QTimer::timeout, this, &configuration_loader::fetch_head);
    fetch_head();
}

void configuration_loader::fetch_head()
{
    QNetworkReply* reply = m_network.get(QNetworkRequest{QUrl{m_url + "/table/config%2Fhead"}});
    connect(reply, &QNetworkReply::finished, this, [this, reply] {
        reply->deleteLater();
        const auto row = nlohmann::json::parse(reply->readAll().toStdString(), nullptr, false);
        if (!row.is_object() || !row.contains("value") || !row["value"].contains("object")) {
            retry("the platform has no configuration yet or cannot be reached");
            return;
        }
        fetch_document(QString::fromStdString(row["value"]["object"].get<std::string>()));
    });
}

void configuration_loader::fetch_document(const QString& object)
{
    const QString name = QString::fromUtf8(QUrl::toPercentEncoding(object));
    QNetworkReply* reply = m_network.get(QNetworkRequest{QUrl{m_url + "/objects/" + name}});
    connect(reply, &QNetworkReply::finished, this, [this, reply, object] {
        reply->deleteLater();
        auto checked = fleet::parse(reply->readAll().toStdString(), object.toStdString());
        if (!checked.has_value()) {
            for (const finding& problem : checked.problems) {
                std::fprintf(stderr, "%s\n", to_string(problem).c_str());
            }
            retry("the configuration is not valid");
            return;
        }
        m_on_loaded(std::move(*checked.value));
    });
}

void configuration_loader::retry(const std::string& reason)
{
    std::fprintf(stderr, "configuration: %s\n", reason.c_str());
    m_retry.start(retry_interval);
}

} // namespace gypsumstep::daemon
