// Writes keyed orders through a daemon while the primary fails, then checks that
// every acknowledged order is there exactly once and reports the gap in writes.
#include "pg_client.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <csignal>
#include <set>

// NOLINTBEGIN: absl's macros define globals
ABSL_FLAG(std::string, daemons, "", "comma-separated ADDRESS:PORT of the daemons");
ABSL_FLAG(int, pid, 0, "process of the primary");
ABSL_FLAG(std::string, fault, "kill", "kill, freeze or thaw: what is done to the primary");
ABSL_FLAG(int, writes_before, 50, "orders written before the fault");
ABSL_FLAG(int, writes_after, 50, "orders written after the fault");
// NOLINTEND

namespace {

using namespace gypsumstep::demo;
using steady = std::chrono::steady_clock;

constexpr auto outer_bound = std::chrono::seconds{6};
constexpr auto freeze_time = std::chrono::seconds{8};

/// Whether an answer proves that the keyed write is stored.
bool is_stored(const std::string& answer)
{
    return answer == "INSERT 0 1" || answer.find("already run") != std::string::npos;
}

/// Writes one order until its outcome is known.
void write_order(client& writer, const place& where, const std::string& id)
{
    for (int attempt = 0; attempt < max_attempts; ++attempt) {
        if (!writer.connected()) {
            writer = connect_when_up(where, "-c gypsumstep.rank=urgent");
        }
        (void)writer.run("SET gypsumstep.request_key = 'order-" + id + "'");
        if (is_stored(writer.run("INSERT INTO orders VALUES ($1, 'railing')", {id.c_str()}))) {
            return;
        }
        std::this_thread::sleep_for(retry_interval);
    }
    step(false, "order " + id + " could not be written");
}

/// Writes orders numbered from \p first and returns the longest time between two.
steady::duration write_orders(client& writer, const place& where, int first, int count)
{
    auto longest = steady::duration::zero();
    auto previous = steady::now();
    for (int i = 0; i < count; ++i) {
        write_order(writer, where, std::to_string(first + i));
        const auto now = steady::now();
        longest = std::max(longest, now - previous);
        previous = now;
    }
    return longest;
}

double seconds(steady::duration value)
{
    return std::chrono::duration<double>{value}.count();
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    const auto daemons = parse_places(absl::GetFlag(FLAGS_daemons));
    const int before = absl::GetFlag(FLAGS_writes_before);
    const int after = absl::GetFlag(FLAGS_writes_after);
    const std::string fault = absl::GetFlag(FLAGS_fault);
    constexpr int first_id = 1000;

    client writer = connect_when_up(daemons[0], "-c gypsumstep.rank=urgent");
    (void)write_orders(writer, daemons[0], first_id, before);
    step(::kill(absl::GetFlag(FLAGS_pid), fault == "kill" ? SIGKILL : SIGSTOP) == 0,
         "the primary of the group got: " + fault);
    const auto gap = write_orders(writer, daemons[0], first_id + before, after);
    step(true, "writes went on, nobody ordering it");
    // Reported and not judged: the machine's load must not decide the outcome.
    std::printf("      gap in writes: %.2f s, target: below %.0f s\n", seconds(gap),
                seconds(outer_bound));
    if (fault == "freeze") {
        std::this_thread::sleep_for(freeze_time);
        (void)::kill(absl::GetFlag(FLAGS_pid), SIGCONT);
        (void)write_orders(writer, daemons[0], first_id + before + after, after);
        step(true, "the old primary woke up and writes went on");
    }
    const int total = before + after + (fault == "freeze" ? after : 0);
    client reader = connect_when_up(daemons[1], "-c gypsumstep.mode=read -c gypsumstep.session=" +
                                                    writer.token());
    const std::string found = reader.run("SELECT count(*) FROM orders WHERE item = 'railing'");
    step(found == std::to_string(total),
         "all " + std::to_string(total) + " acknowledged orders are there once: " + found);
    return 0;
}
