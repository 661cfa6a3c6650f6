#pragma once

/**
    Settings module: reads a node's settings file, JSON with comments, and checks it as a whole.
*/

#include "settings/gateway/gateway_settings.h"
#include "settings/node/node_settings.h"
#include "settings/reader/settings_reader.h"
