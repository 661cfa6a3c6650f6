#include "platform/objects/request_target.h"

#include <httplib.h>

namespace samphireway::platform {

std::string encode_component(const std::string& name)
{
    return httplib::detail::encode_query_param(name);
}

std::string encode_path(const std::string& key)
{
    std::string encoded;
    std::size_t begin = 0;
    for (std::size_t slash = key.find('/'); slash != std::string::npos; slash = key.find('/', begin)) {
        encoded += encode_component(key.substr(begin, slash - begin)) + "/";
        begin = slash + 1;
    }
    return encoded + encode_component(key.substr(begin));
}

} // namespace samphireway::platform
