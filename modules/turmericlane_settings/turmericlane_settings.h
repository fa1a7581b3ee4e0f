#pragma once

/** @file
    Module settings: typed settings from flags and the environment.

    Dependencies: core.
    It must not depend on the meaning of a setting, and must not read files.
*/

#include "options/choice_setting.h"
#include "options/endpoint_list_setting.h"
#include "options/flag_setting.h"
#include "options/integer_setting.h"
#include "options/ip_endpoint.h"
#include "options/millisecond_setting.h"
#include "options/real_setting.h"
#include "options/setting.h"
#include "options/text_setting.h"
#include "parser/environment.h"
#include "parser/settings.h"
