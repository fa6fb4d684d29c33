// gypsumstepd: database proxy with session consistency.
#include "daemon_process.h"

#include "gypsumstep/logging/logging.h"
#include "gypsumstep/logging/redaction.h"
#include "gypsumstep/runtime/fatal_signal.h"
#include "gypsumstep/settings/settings.h"

#include <QCoreApplication>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdio>
#include <string_view>

#include <unistd.h>

// NOLINTBEGIN: absl's macros define globals
ABSL_FLAG(std::string, settings, "", "file with the daemon's settings, JSON with comments");
ABSL_FLAG(bool, check_settings, false, "print every problem in the settings file and stop");
// NOLINTEND

namespace {

using namespace gypsumstep;

constexpr int exit_invalid_settings = 2;

/// Absl names flags with underscores; "--check-settings" is accepted as well.
void accept_dashes(int argc, char** argv)
{
    for (int i = 1; i < argc; ++i) {
        const std::string_view argument{argv[i]};
        if (!argument.starts_with("--")) {
            continue;
        }
        const std::size_t end = std::min(argument.find('='), argument.size());
        std::replace(argv[i] + 2, argv[i] + end, '-', '_');
    }
}

/// Starts logging, with the keys in the settings registered so that they are redacted.
/// \return false if logging could not be started
bool start_logging(const settings::daemon_settings& settings)
{
    for (const auto* keys : {&settings.mesh_keys, &settings.operator_keys}) {
        for (const std::string& key : *keys) {
            logging::register_secret(key);
        }
    }
    logging::options options;
    options.threshold = logging::parse_level(settings.log_level).value_or(logging::level::info);
    options.file = settings.log_file;
    const auto started = logging::start(options);
    if (started.has_error()) {
        std::fprintf(stderr, "%s\n", started.error().message.c_str());
    }
    return started.has_value();
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Database proxy with session consistency.\n"
                                 "  gypsumstepd --settings=FILE [--check-settings]");
    accept_dashes(argc, argv);
    absl::ParseCommandLine(argc, argv);
    auto loaded = settings::load_file(absl::GetFlag(FLAGS_settings));
    for (const finding& problem : loaded.problems) {
        std::fprintf(stderr, "%s\n", to_string(problem).c_str());
    }
    if (!loaded.has_value()) {
        return exit_invalid_settings;
    }
    if (absl::GetFlag(FLAGS_check_settings)) {
        return 0;
    }
    runtime::report_fatal_signals({{STDERR_FILENO, -1}, nullptr});
    if (!start_logging(*loaded.value)) {
        return exit_invalid_settings;
    }
    QCoreApplication application{argc, argv};
    int code = 0;
    {
        daemon::daemon_process process{std::move(*loaded.value)};
        code = QCoreApplication::exec();
    }
    logging::stop();
    return code;
}
