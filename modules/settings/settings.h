#pragma once

/**
    Settings module: reads the settings file of a node, which is JSON with comments, and reports all
    faults in it at once.
*/

#include "settings/gateway/gateway_settings.h"
#include "settings/node/node_settings.h"
#include "settings/reader/settings_reader.h"
