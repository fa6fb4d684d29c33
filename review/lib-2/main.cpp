// Runs one case: review-case-2 NAME --program=FILE --record=FILE. TROUBLE=0 in the environment
// leaves the disruption out.
#include "fleet.h"

#include <QCoreApplication>
#include <QNetworkProxy>

#include <cstdlib>
#include <iostream>
#include <map>
#include <string>

int main(int argc, char** argv)
{
    QCoreApplication application{argc, argv};
    QNetworkProxy::setApplicationProxy(QNetworkProxy::NoProxy);
    review::case_options options;
    std::string name;
    for (const QString& argument : QCoreApplication::arguments().mid(1)) {
        const std::string text = argument.toStdString();
        if (text.starts_with("--program=")) {
            options.program = text.substr(10);
        }
        else if (text.starts_with("--record=")) {
            options.record = text.substr(9);
        }
        else {
            name = text;
        }
    }
    const char* const trouble = std::getenv("TROUBLE");
    options.trouble = trouble == nullptr || std::string{trouble} != "0";
    const std::map<std::string, int (*)(const review::case_options&)> cases{
        {"answers", review::run_answers},
        {"large-answer", review::run_large_answer},
        {"late-order", review::run_late_order},
        {"memory", review::run_memory},
        {"restart", review::run_restart},
        {"restart-forwarded", review::run_restart_forwarded},
    };
    const auto found = cases.find(name);
    if (found == cases.end() || options.program.empty() || options.record.empty()) {
        std::cerr << "review-case-2 NAME --program=FILE --record=FILE\n";
        return review::exit_not_run;
    }
    return found->second(options);
}
