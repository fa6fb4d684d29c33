// Program standin-platform: the platform's services in memory, for tests and the demo.
#include "platform_server.h"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <sys/signalfd.h>
#include <unistd.h>

#include <csignal>
#include <cstdio>
#include <string>

// NOLINTBEGIN: the macros of the flag library expand to names of their own
ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(std::uint32_t, port, 0, "TCP port to listen on; 0 chooses a free one");
// NOLINTEND

namespace {

/// Blocks the ending signals in every thread and returns a descriptor that reads them.
int open_signals()
{
    sigset_t ending{};
    sigemptyset(&ending);
    sigaddset(&ending, SIGTERM);
    sigaddset(&ending, SIGINT);
    sigprocmask(SIG_BLOCK, &ending, nullptr);
    return signalfd(-1, &ending, SFD_CLOEXEC);
}

} // namespace

int main(int argc, char** argv)
{
    const int signal_descriptor = open_signals();
    QCoreApplication application{argc, argv};
    absl::ParseCommandLine(argc, argv);
    const std::string address = absl::GetFlag(FLAGS_address);
    gypsumstep::standin::platform_server server;
    const std::uint16_t port =
        server.listen(address, static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port)));
    if (port == 0) {
        std::fprintf(stderr, "cannot listen on %s:%u\n", address.c_str(),
                     absl::GetFlag(FLAGS_port));
        return 1;
    }
    QSocketNotifier notifier{signal_descriptor, QSocketNotifier::Read};
    QObject::connect(&notifier, &QSocketNotifier::activated, &application, &QCoreApplication::quit);
    std::printf("platform stand-in listening on %s:%u\n", address.c_str(), unsigned{port});
    std::fflush(stdout);
    const int status = QCoreApplication::exec();
    close(signal_descriptor);
    return status;
}
