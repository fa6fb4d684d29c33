// gypsumstep-soak: runs the fault soak for each seed in turn and reports violated guarantees.
#include "soak_run.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <QCoreApplication>

#include <cstdint>
#include <cstdio>
#include <string>

// NOLINTBEGIN: absl's macros define globals
ABSL_FLAG(std::string, program, "", "path of gypsumstep-edge");
ABSL_FLAG(std::uint64_t, first, 1, "first seed");
ABSL_FLAG(std::uint64_t, seeds, 1, "number of seeds");
ABSL_FLAG(std::uint32_t, daemons, 5, "daemons of a run; each is a process");
ABSL_FLAG(std::uint32_t, clients, 20, "clients of a run");
ABSL_FLAG(std::uint32_t, seconds, 8, "time during which faults are injected, s");
ABSL_FLAG(std::uint32_t, recovery_seconds, 12, "time limit for recovery after the last fault, s");
ABSL_FLAG(std::uint32_t, first_port, 21'000,
          "a free block of five loopback ports for each daemon is searched from this port on");
ABSL_FLAG(std::string, logs, "", "folder for the daemons' logs of failed seeds");
// NOLINTEND

int main(int argc, char** argv)
{
    using namespace gypsumstep;
    absl::SetProgramUsageMessage("Runs seeds of the fault soak with real daemons on loopback.");
    absl::ParseCommandLine(argc, argv);
    const QCoreApplication application{argc, argv};
    std::uint64_t failed = 0;
    const std::uint64_t first = absl::GetFlag(FLAGS_first);
    const std::uint64_t seeds = absl::GetFlag(FLAGS_seeds);
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        soak::run_options options;
        options.program = absl::GetFlag(FLAGS_program);
        options.seed = seed;
        options.daemons = absl::GetFlag(FLAGS_daemons);
        options.clients = absl::GetFlag(FLAGS_clients);
        options.first_port = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_first_port));
        options.fault_time = std::chrono::seconds{absl::GetFlag(FLAGS_seconds)};
        options.recovery_limit = std::chrono::seconds{absl::GetFlag(FLAGS_recovery_seconds)};
        options.log_directory = absl::GetFlag(FLAGS_logs);
        soak::soak_run run{options};
        const auto report = run.play();
        std::printf("seed %llu: %s; %s\n", static_cast<unsigned long long>(seed),
                    report.empty() ? "held" : "BROKEN", run.counts().c_str());
        for (const std::string& line : report) {
            std::printf("  %s\n", line.c_str());
        }
        std::fflush(stdout);
        failed += report.empty() ? 0 : 1;
    }
    std::printf("%llu of %llu seeds broke a guarantee\n", static_cast<unsigned long long>(failed),
                static_cast<unsigned long long>(seeds));
    return failed == 0 ? 0 : 1;
}
