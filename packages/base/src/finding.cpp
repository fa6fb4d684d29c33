#include "gypsumstep/base/finding.h"

namespace gypsumstep {

std::string to_string(const finding& value)
{
    const char* prefix = value.level == severity::warning ? "warning: " : "";
    return value.place.file + ":" + std::to_string(value.place.line) + ":" +
           std::to_string(value.place.column) + ": " + value.path + ": " + prefix + value.message;
}

} // namespace gypsumstep
