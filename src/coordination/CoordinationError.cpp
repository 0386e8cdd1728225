#include "coordination/CoordinationError.h"
