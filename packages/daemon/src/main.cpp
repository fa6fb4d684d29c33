// gypsumstepd: database proxy with session consistency.
#include "caller_front.h"
#include "configuration_loader.h"
#include "home.h"
#include "identity.h"

#include "gypsumstep/runtime/duty_thread.h"
#include "gypsumstep/settings/settings.h"

#include <QCoreApplication>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <cstdio>

// NOLINTBEGIN: absl's macros define globals
ABSL_FLAG(std::string, settings, "", "file with the daemon's settings, JSON with comments");
ABSL_FLAG(bool, check_settings, false, "print every problem in the settings file and stop");
// NOLINTEND

namespace {

using namespace gypsumstep;

constexpr int exit_invalid_settings = 2;
constexpr int exit_no_address = 3;

/// Starts the duties in the order of their dependence and joins them by rings.
class daemon_process {
public:
    explicit daemon_process(settings::daemon_settings settings) : m_settings{std::move(settings)}
    {
        m_loader = std::make_unique<daemon::configuration_loader>(
            m_settings.platform_url, [this](const fleet::document& document) { start(document); });
    }

private:
    void start(const fleet::document& document)
    {
        daemon::home* home = nullptr;
        daemon::caller_front* front = nullptr;
        m_home_thread.start([&] {
            auto made = std::make_unique<daemon::home>(document, m_self, m_settings.platform_url,
                                                       m_channels);
            home = made.get();
            return made;
        });
        m_front_thread.start([&] {
            auto made = std::make_unique<daemon::caller_front>(m_settings, document, m_channels);
            front = made.get();
            return made;
        });
        // Both duties exist and neither has pushed anything yet.
        const auto wake_home = [home] { runtime::post(*home, [home] { home->drain(); }); };
        const auto wake_front = [front] { runtime::post(*front, [front] { front->drain(); }); };
        m_channels.requests.on_wake(wake_home);
        m_channels.releases.on_wake(wake_home);
        m_channels.answers.on_wake(wake_front);
        m_channels.views.on_wake(wake_front);
        runtime::post(*home, [home] { home->begin(); });
        bool listening = false;
        QMetaObject::invokeMethod(
            front, [&] { listening = front->listen(); }, Qt::BlockingQueuedConnection);
        if (!listening) {
            std::fprintf(stderr, "cannot listen on %s\n", to_string(m_settings.callers).c_str());
            QCoreApplication::exit(exit_no_address);
            return;
        }
        std::printf("gypsumstepd %s serves callers on %s\n", m_settings.name.c_str(),
                    to_string(m_settings.callers).c_str());
        std::fflush(stdout);
    }

    settings::daemon_settings m_settings;
    daemon_id m_self{daemon::new_daemon_id()};
    daemon::front_home_channels m_channels;
    std::unique_ptr<daemon::configuration_loader> m_loader;
    runtime::duty_thread m_home_thread{"home"};
    runtime::duty_thread m_front_thread{"callers"};
};

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Database proxy with session consistency.\n"
                                 "  gypsumstepd --settings=FILE [--check_settings]");
    absl::ParseCommandLine(argc, argv);
    const std::string file = absl::GetFlag(FLAGS_settings);
    auto loaded = settings::load_file(file);
    for (const finding& problem : loaded.problems) {
        std::fprintf(stderr, "%s\n", to_string(problem).c_str());
    }
    if (!loaded.has_value()) {
        return exit_invalid_settings;
    }
    if (absl::GetFlag(FLAGS_check_settings)) {
        return 0;
    }
    QCoreApplication application{argc, argv};
    std::signal(SIGTERM, [](int) { QCoreApplication::quit(); });
    daemon_process process{std::move(*loaded.value)};
    return QCoreApplication::exec();
}
