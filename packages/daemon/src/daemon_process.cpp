#include "daemon_process.h"

#include "gypsumstep/logging/logging.h"

#include <QCoreApplication>

#include <csignal>

namespace gypsumstep::daemon {
namespace {

const logging::logger& log()
{
    static const logging::logger instance{"daemon"};
    return instance;
}

platform::client_options platform_options(const settings::daemon_settings& settings)
{
    platform::client_options options;
    options.url = settings.platform_url;
    options.read_timeout = std::chrono::milliseconds{settings.platform_timeout_ms};
    return options;
}

} // namespace

daemon_process::daemon_process(settings::daemon_settings settings)
    : m_settings{std::move(settings)}, m_platform{platform_options(m_settings), m_self.value()},
      m_configuration{m_platform,
                      [this](const fleet::document& document) { on_document(document); }},
      m_operators{m_settings, m_configuration, m_registry, m_operator_views},
      m_signals{{SIGTERM, SIGINT}, [this](int /*number*/) { on_signal(); }}
{
    if (!m_operators.listen()) {
        on_listen_failed(m_settings.operators);
        return;
    }
    log().info("listening for operators", {{"address", to_string(m_settings.operators)}});
}

void daemon_process::on_listen_failed(const settings::endpoint& address)
{
    log().error("cannot listen", {{"address", to_string(address)}});
    QTimer::singleShot(0, this, [] { QCoreApplication::exit(exit_address_unavailable); });
}

void daemon_process::on_document(const fleet::document& document)
{
    m_operators.set_document(document);
    if (m_home == nullptr) {
        start_components(document);
        return;
    }
    runtime::post(*m_home, [home = m_home, document] { home->apply(document); });
}

void daemon_process::start_components(const fleet::document& document)
{
    m_home_thread.start([&] {
        auto created = std::make_unique<home>(document, m_self, m_settings.platform_url, m_channels,
                                              m_operator_views);
        m_home = created.get();
        return created;
    });
    m_client_thread.start([&] {
        auto created =
            std::make_unique<client_listener>(m_settings, document, m_channels, m_metrics);
        m_client_listener = created.get();
        return created;
    });
    connect_channels();
    m_operators.set_home(m_home);
    runtime::post(*m_home, [home = m_home] { home->begin(); });
    bool listening = false;
    QMetaObject::invokeMethod(
        m_client_listener, [&] { listening = m_client_listener->listen(); },
        Qt::BlockingQueuedConnection);
    if (!listening) {
        on_listen_failed(m_settings.clients);
        return;
    }
    log().info("listening for clients",
               {{"daemon", m_settings.name}, {"address", to_string(m_settings.clients)}});
}

void daemon_process::connect_channels()
{
    // The components exist already, and none of them has sent a message yet.
    const auto wake_home = [home = m_home] { runtime::post(*home, [home] { home->drain(); }); };
    const auto wake_listener = [listener = m_client_listener] {
        runtime::post(*listener, [listener] { listener->drain(); });
    };
    m_channels.requests.on_wake(wake_home);
    m_channels.releases.on_wake(wake_home);
    m_channels.answers.on_wake(wake_listener);
    m_channels.views.on_wake(wake_listener);
    m_operator_views.on_wake([operators = &m_operators] {
        runtime::post(*operators, [operators] { operators->drain(); });
    });
}

void daemon_process::on_signal()
{
    if (m_shutting_down || m_client_listener == nullptr) {
        log().info("stopping at once");
        QCoreApplication::quit();
        return;
    }
    m_shutting_down = true;
    log().info("shutting down: new clients are refused, statements in flight finish");
    runtime::post(*m_client_listener, [this, listener = m_client_listener] {
        listener->begin_shutdown(
            [this] { runtime::post(*this, [] { QCoreApplication::quit(); }); });
    });
    const auto limit = std::chrono::ceil<std::chrono::milliseconds>(m_settings.shutdown_limit);
    QTimer::singleShot(limit, this, [] {
        log().warn("the shutdown limit passed with statements in flight");
        QCoreApplication::quit();
    });
}

} // namespace gypsumstep::daemon
