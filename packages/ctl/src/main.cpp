// gypsumstepctl: the operator's command line.
#include "flags.h"
#include "gypsumstep/ctl/runner.h"
#include "http_transport.h"

#include <absl/flags/flag.h>

#include <QCoreApplication>
#include <QUuid>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, daemon, "127.0.0.1:6434", "operator endpoint of any daemon");
ABSL_FLAG(std::string, key_file, "", "file whose first line is an operator key");
ABSL_FLAG(bool, json, false, "print JSON in place of tables");
ABSL_FLAG(std::uint32_t, timeout_ms, 5000, "how long to wait for one answer");
ABSL_FLAG(std::int64_t, base, -1, "configuration version that a patch is against; 0: none yet");
ABSL_FLAG(std::string, author, "", "who makes the change; $USER if empty");
ABSL_FLAG(std::string, reason, "", "why the change is made");
ABSL_FLAG(std::string, id, "", "names a patch; made up if empty");

namespace {

using namespace gypsumstep;
using namespace gypsumstep::ctl;

command_options options_from_flags()
{
    command_options options;
    if (const auto base = absl::GetFlag(FLAGS_base); base >= 0) {
        options.base = static_cast<std::uint64_t>(base);
    }
    const char* user = std::getenv("USER");
    options.author = absl::GetFlag(FLAGS_author);
    if (options.author.empty()) {
        options.author = user == nullptr ? "unknown" : user;
    }
    options.reason = absl::GetFlag(FLAGS_reason);
    options.id = absl::GetFlag(FLAGS_id);
    if (options.id.empty()) {
        options.id = QUuid::createUuid().toString(QUuid::WithoutBraces).toStdString();
    }
    return options;
}

result<std::string> read_key()
{
    const std::string path = absl::GetFlag(FLAGS_key_file);
    std::string key;
    if (path.empty()) {
        return key;
    }
    std::ifstream file{path};
    if (!std::getline(file, key) || key.empty()) {
        return error{error_code::invalid_argument, path + ": no key on the first line"};
    }
    if (key.back() == '\r') {
        key.pop_back();
    }
    return key;
}

exit_code usage(const std::string& message)
{
    std::cerr << message << "\n";
    return exit_code::usage;
}

exit_code run(const std::vector<std::string>& words)
{
    const auto asks_help = [](const std::string& word) { return word == "--help" || word == "-h"; };
    if (std::ranges::any_of(words, asks_help)) {
        std::cout << help_text();
        return exit_code::ok;
    }
    const auto others = parse_flags(words);
    if (!others) {
        return usage(others.error().message);
    }
    const auto chosen = parse_command(others.value(), options_from_flags());
    if (!chosen) {
        return usage(chosen.error().message);
    }
    const auto key = read_key();
    if (!key) {
        return usage(key.error().message);
    }
    const std::string daemon = absl::GetFlag(FLAGS_daemon);
    const std::chrono::milliseconds timeout{absl::GetFlag(FLAGS_timeout_ms)};
    http_transport carrier{daemon, key.value(), timeout};
    if (!carrier.is_valid()) {
        return usage("--daemon=" + daemon + " is not ADDRESS:PORT");
    }
    runner commands{carrier, std::cout, std::cerr, absl::GetFlag(FLAGS_json)};
    return commands.run(chosen.value());
}

} // namespace

int main(int argc, char** argv)
{
    const QCoreApplication application{argc, argv};
    return static_cast<int>(run({argv + 1, argv + argc}));
}
