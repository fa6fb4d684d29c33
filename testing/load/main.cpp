// Runs an open-loop load on a PostgreSQL server, and on a second one for comparison.
#include "load/load_run.h"
#include "load/process_time.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>
#include <sys/resource.h>

#include <iostream>

// NOLINTBEGIN: absl's macros define globals
ABSL_FLAG(std::string, host, "127.0.0.1", "IP number of the server");
ABSL_FLAG(std::uint16_t, port, 5432, "port of the server");
ABSL_FLAG(std::string, database, "load", "database; for a daemon the name of a group");
ABSL_FLAG(std::string, options, "", "startup options, e.g. \"-c gypsumstep.mode=read\"");
ABSL_FLAG(int, connections, 10, "open connections");
ABSL_FLAG(double, rate, 1'000, "statements per second over all connections");
ABSL_FLAG(int, seconds, 5, "length of the run, 1 to 600");
ABSL_FLAG(double, write_share, 0.0, "share of writes, 0 to 1");
ABSL_FLAG(std::string, read, "SELECT 1", "the reading statement");
ABSL_FLAG(std::string, write, "SELECT 1", "the writing statement");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the arrivals");
ABSL_FLAG(std::uint16_t, direct_port, 0, "port of a server to compare with; 0 for none");
ABSL_FLAG(int, direct_connections, 10, "open connections to the server to compare with");
ABSL_FLAG(int, daemon_pid, 0, "process whose CPU time is measured; 0 for none");
// NOLINTEND

namespace {

using namespace gypsumstep;
using namespace gypsumstep::load;
using nlohmann::json;

constexpr int longest_run_seconds = 600;

double milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>{value}.count();
}

json to_json(const load_result& value)
{
    const double seconds = std::chrono::duration<double>{value.elapsed}.count();
    return {{"offered", value.offered},
            {"answered", value.latencies.count()},
            {"errors", value.errors},
            {"unanswered", value.unanswered},
            {"first_error", value.first_error},
            {"statements_per_second", static_cast<double>(value.latencies.count()) / seconds},
            {"median_ms", milliseconds(value.latencies.quantile(0.5))},
            {"p99_ms", milliseconds(value.latencies.quantile(0.99))},
            {"max_ms", milliseconds(value.latencies.highest())}};
}

load_settings settings_from_flags()
{
    load_settings settings;
    settings.host = absl::GetFlag(FLAGS_host);
    settings.port = absl::GetFlag(FLAGS_port);
    settings.database = absl::GetFlag(FLAGS_database);
    settings.options = absl::GetFlag(FLAGS_options);
    settings.connections = absl::GetFlag(FLAGS_connections);
    settings.rate = absl::GetFlag(FLAGS_rate);
    settings.length = std::chrono::seconds{absl::GetFlag(FLAGS_seconds)};
    settings.write_share = absl::GetFlag(FLAGS_write_share);
    settings.read = absl::GetFlag(FLAGS_read);
    settings.write = absl::GetFlag(FLAGS_write);
    settings.seed = absl::GetFlag(FLAGS_seed);
    return settings;
}

bool is_valid(const load_settings& settings)
{
    return settings.connections > 0 && settings.rate > 0 && settings.length > duration{0} &&
           settings.length <= std::chrono::seconds{longest_run_seconds} &&
           settings.write_share >= 0 && settings.write_share <= 1;
}

void raise_file_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
    }
}

// Adds the daemon's CPU time per statement and the cores that it used to the report.
void add_cpu_time(json& report, std::optional<duration> before, std::optional<duration> after,
                  const load_result& measured)
{
    if (!before || !after || measured.latencies.count() == 0) {
        return;
    }
    const double used = std::chrono::duration<double>{*after - *before}.count();
    const auto statements = static_cast<double>(measured.latencies.count());
    report["daemon_cpu_us_per_statement"] = used * 1e6 / statements;
    report["daemon_cores"] = used / std::chrono::duration<double>{measured.elapsed}.count();
}

int run(const load_settings& settings)
{
    json report{{"connections", settings.connections}, {"rate", settings.rate}};
    const int pid = absl::GetFlag(FLAGS_daemon_pid);
    const std::optional<duration> before = process_time(pid);
    const result<load_result> measured = run_load(settings);
    const std::optional<duration> after = process_time(pid);
    if (!measured) {
        std::cerr << measured.error().message << '\n';
        return 1;
    }
    report["target"] = to_json(measured.value());
    add_cpu_time(report, before, after, measured.value());
    if (absl::GetFlag(FLAGS_direct_port) != 0) {
        load_settings direct = settings;
        direct.port = absl::GetFlag(FLAGS_direct_port);
        direct.connections = absl::GetFlag(FLAGS_direct_connections);
        direct.options.clear();
        const result<load_result> direct_result = run_load(direct);
        if (!direct_result) {
            std::cerr << direct_result.error().message << '\n';
            return 1;
        }
        report["direct"] = to_json(direct_result.value());
        for (const char* key : {"median_ms", "p99_ms"}) {
            const double target_value = report["target"][key];
            const double direct_value = report["direct"][key];
            report["added"][key] = target_value - direct_value;
            report["ratio"][key] = direct_value > 0 ? target_value / direct_value : 0.0;
        }
    }
    std::cout << report.dump(2) << '\n';
    return measured.value().errors + measured.value().unanswered == 0 ? 0 : 2;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Open-loop load on a PostgreSQL server. Prints JSON; exits 1 "
                                 "without connections, 2 if statements failed.");
    absl::ParseCommandLine(argc, argv);
    const load_settings settings = settings_from_flags();
    if (!is_valid(settings)) {
        std::cerr << "a flag is out of range, see --help\n";
        return 1;
    }
    raise_file_limit();
    return run(settings);
}
