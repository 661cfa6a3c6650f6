#pragma once

/**
    Platform module: hooks for the platform's object API and VM list, and their HTTP adapter.
*/

#include "platform/objects/http_platform.h"
#include "platform/objects/object_store.h"
#include "platform/vms/vm_list.h"
