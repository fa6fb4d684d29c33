/// \file
/// The duties of one daemon: made in the order of their dependence, joined by rings.
#pragma once

#include "caller_front.h"
#include "configuration_service.h"
#include "daemon_metrics.h"
#include "gypsumstep/runtime/signal_watch.h"
#include "home.h"
#include "identity.h"
#include "operator_endpoint.h"

#include "gypsumstep/runtime/event_loop_thread.h"

#include <QTimer>

namespace gypsumstep::daemon {

/// Runs from the first event of the application to its end.
class daemon_process : public QObject {
public:
    /// Exit code if an address is taken.
    static constexpr int exit_no_address = 3;

    explicit daemon_process(settings::daemon_settings settings);

private:
    void on_document(const fleet::document& document);
    void start_duties(const fleet::document& document);
    void wire_rings();
    void on_signal();
    void fail_to_listen(const settings::endpoint& where);

    settings::daemon_settings m_settings;
    daemon_id m_self{new_daemon_id()};
    metrics::registry m_registry;
    daemon_metrics m_metrics{m_registry};
    front_home_channels m_channels;
    view_channel m_operator_views{front_home_channels::views_in_ring};
    platform::client m_platform;
    configuration_service m_configuration;
    operator_endpoint m_operators;
    runtime::event_loop_thread m_home_thread{"home"};
    runtime::event_loop_thread m_front_thread{"callers"};
    home* m_home{nullptr};
    caller_front* m_front{nullptr};
    bool m_leaving{false};
    runtime::signal_watch m_signals;
};

} // namespace gypsumstep::daemon
