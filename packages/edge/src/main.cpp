// gypsumstep-edge: the daemon on the users' platform. It links only the libraries that it runs,
// since a restarted daemon has to serve at once on a small share of a processor.
#include "run_edge.h"

#include "gypsumstep/adapter/node_settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <cstdio>
#include <cstdlib>
#include <string>

// NOLINTBEGIN: absl's macros define globals
ABSL_FLAG(std::string, settings, "",
          "path of the settings file; the default is taken from the environment");
ABSL_FLAG(bool, check_settings, false, "print every problem in the settings file and stop");
// NOLINTEND

namespace {

using namespace gypsumstep;

constexpr int exit_invalid_settings = 2;

/// Returns the path given by the flag, or else by the environment; empty if neither gives one.
std::string settings_file()
{
    std::string from_flag = absl::GetFlag(FLAGS_settings);
    if (!from_flag.empty()) {
        return from_flag;
    }
    const char* const from_environment = std::getenv(adapter::settings_variable);
    return from_environment == nullptr ? std::string{} : from_environment;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Database proxy with session consistency, on the users' platform.\n"
        "  gypsumstep-edge [--settings=FILE] [--check_settings]");
    absl::FlagsUsageConfig usage;
    usage.version_string = [] { return std::string{"gypsumstep-edge " GYPSUMSTEP_VERSION "\n"}; };
    absl::SetFlagsUsageConfig(usage);
    absl::ParseCommandLine(argc, argv);
    const std::string file = settings_file();
    if (file.empty()) {
        std::fprintf(stderr, "no settings file: neither --settings nor %s names one\n",
                     adapter::settings_variable);
        return exit_invalid_settings;
    }
    return edge::run_edge(argc, argv, file, absl::GetFlag(FLAGS_check_settings));
}
