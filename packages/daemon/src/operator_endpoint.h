/// \file
/// The HTTP/JSON interface for gypsumstepctl and metric scrapers.
#pragma once

#include "configuration_service.h"
#include "home.h"
#include "messages.h"

#include "gypsumstep/metrics/registry.h"
#include "gypsumstep/settings/settings.h"

#include <QHttpServer>
#include <QObject>

#include <functional>
#include <map>

namespace gypsumstep::daemon {

/// Serves operators. Every route except the metrics needs "Authorization: Bearer KEY".
class operator_endpoint : public QObject {
public:
    using json = nlohmann::json;

    /// All references outlive this object.
    operator_endpoint(const settings::daemon_settings& settings,
                      configuration_service& configuration, metrics::registry& registry,
                      view_channel& views);

    /// Sets the home that carries out promotions, once it has been created.
    void set_home(home* target) { m_home = target; }

    /// Sets the configuration from which names of groups and servers are taken.
    void set_document(const fleet::document& document) { m_fleet = document; }

    /// Starts to listen; returns false if the address cannot be bound.
    [[nodiscard]] bool listen();

    /// Handles every view that waits in the channel.
    void drain();

private:
    /// Sends the response to one request; may be called after the handler has returned.
    using reply = std::function<void(QHttpServerResponse)>;

    void add_read_routes();
    void add_order_routes();
    [[nodiscard]] bool is_authorized(const QHttpServerRequest& request) const;
    [[nodiscard]] json status() const;
    [[nodiscard]] json group_status(const routing::group_view& view) const;
    [[nodiscard]] json alarms() const;
    void show_version(std::uint64_t version, const reply& answer);
    void show_history(const reply& answer);
    void patch(const json& body, const reply& answer);
    void patch_server_flag(const json& body, const reply& answer);
    void patch_automation(const json& body, const reply& answer);
    void promote(const json& body, const reply& answer);
    void submit(const config::patch& change, const reply& answer);

    settings::daemon_settings m_settings;
    configuration_service& m_configuration;
    metrics::registry& m_registry;
    view_channel& m_views;
    home* m_home{nullptr};
    fleet::document m_fleet;
    std::map<group_id, routing::group_view> m_groups;
    QHttpServer m_server;
};

} // namespace gypsumstep::daemon
