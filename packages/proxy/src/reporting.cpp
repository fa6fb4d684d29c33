#include "gypsumstep/proxy/proxy.h"

namespace gypsumstep::proxy {

void proxy::note(importance level, const char* what, const std::string& request,
                 std::vector<std::pair<const char*, std::string>> inputs)
{
    emit(decision{level, what, request, std::move(inputs)});
}

std::string proxy::name_of(server_id id) const
{
    const directory::server_record* const record = m_directory.find(id);
    return record == nullptr ? "gone/" + std::to_string(id.value()) : record->entry.name;
}

} // namespace gypsumstep::proxy
