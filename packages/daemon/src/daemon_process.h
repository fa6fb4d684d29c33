/// \file
/// The components of one daemon: created in dependency order and connected by channels.
#pragma once

#include "client_listener.h"
#include "configuration_service.h"
#include "daemon_metrics.h"
#include "gypsumstep/runtime/signal_watch.h"
#include "home.h"
#include "identity.h"
#include "operator_endpoint.h"

#include "gypsumstep/runtime/event_loop_thread.h"

#include <QTimer>

namespace gypsumstep::daemon {

/// Starts the components when the first configuration arrives, and shuts them down on a
/// signal.
class daemon_process : public QObject {
public:
    /// Exit code if a listen address cannot be bound.
    static constexpr int exit_address_unavailable = 3;

    explicit daemon_process(settings::daemon_settings settings);

private:
    void on_document(const fleet::document& document);
    void start_components(const fleet::document& document);
    void connect_channels();
    void on_signal();
    void on_listen_failed(const settings::endpoint& address);

    settings::daemon_settings m_settings;
    daemon_id m_self{new_daemon_id()};
    metrics::registry m_registry;
    daemon_metrics m_metrics{m_registry};
    listener_home_channels m_channels;
    view_channel m_operator_views{listener_home_channels::view_capacity};
    platform::client m_platform;
    configuration_service m_configuration;
    operator_endpoint m_operators;
    runtime::event_loop_thread m_home_thread{"home"};
    runtime::event_loop_thread m_client_thread{"callers"};
    home* m_home{nullptr};
    client_listener* m_client_listener{nullptr};
    bool m_shutting_down{false};
    runtime::signal_watch m_signals;
};

} // namespace gypsumstep::daemon
