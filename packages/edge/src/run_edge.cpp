#include "run_edge.h"

#include "edge_process.h"
#include "line_logger.h"

#include "gypsumstep/adapter/node_settings.h"
#include "gypsumstep/logging/logging.h"
#include "gypsumstep/runtime/epoll_dispatcher.h"
#include "gypsumstep/runtime/fatal_signal.h"

#include <QCoreApplication>
#include <QNetworkProxy>

#include <cstdio>
#include <cstdlib>
#include <memory>
#include <utility>

#include <malloc.h>
#include <unistd.h>

namespace gypsumstep::edge {
namespace {

constexpr int exit_invalid_settings = 2;
constexpr int exit_cannot_listen = 3;

/// Reached by the handler of fatal signals.
line_logger* fatal_output = nullptr; // NOLINT

void flush_at_fatal_signal()
{
    if (fatal_output != nullptr) {
        fatal_output->flush();
    }
}

/// Blocks from this size on, in bytes, are returned to the system when they are freed. Without a
/// fixed size the C library raises it with the first long message, and the memory of a crowd's
/// messages stays with the process.
constexpr int returned_block_bytes = 64 << 10;

void return_large_blocks()
{
#ifdef __GLIBC__
    (void)::mallopt(M_MMAP_THRESHOLD, returned_block_bytes);
    (void)::mallopt(M_TRIM_THRESHOLD, 4 * returned_block_bytes);
#endif
}

bool start_logging(line_logger& output)
{
    logging::options options;
    options.threshold = logging::level::info;
    options.sink = [&output](std::string_view line) { output.add(line); };
    const auto started = logging::start(options);
    if (started.has_error()) {
        std::fprintf(stderr, "%s\n", started.error().message.c_str());
    }
    return started.has_value();
}

} // namespace

int run_edge(int argc, char** argv, const std::string& settings_file, bool check_only)
{
    adapter::loaded_settings loaded = adapter::load_settings(settings_file);
    for (const finding& problem : loaded.problems) {
        std::fprintf(stderr, "%s\n", to_string(problem).c_str());
    }
    if (!loaded.value) {
        return exit_invalid_settings;
    }
    if (check_only) {
        return 0;
    }
    return_large_blocks();
    line_logger output{STDOUT_FILENO};
    fatal_output = &output;
    runtime::report_fatal_signals({{STDOUT_FILENO, STDERR_FILENO}, flush_at_fatal_signal});
    if (!start_logging(output)) {
        return exit_invalid_settings;
    }
    auto dispatcher = std::make_unique<runtime::epoll_dispatcher>();
    if (dispatcher->is_valid()) {
        QCoreApplication::setEventDispatcher(dispatcher.release()); // owned by the application
    }
    QCoreApplication application{argc, argv};
    // Looking for a proxy costs more than the rest of opening a connection.
    QNetworkProxy::setApplicationProxy(QNetworkProxy::NoProxy);
    int code = exit_cannot_listen;
    {
        edge_process process{std::move(*loaded.value), settings_file, output};
        if (process.start()) {
            code = QCoreApplication::exec();
        }
    }
    logging::stop();
    output.flush();
    fatal_output = nullptr;
    // Skips static destructors: the log library's would end its worker threads and wait for
    // them, and nothing is left to be written.
    std::quick_exit(code);
}

} // namespace gypsumstep::edge
