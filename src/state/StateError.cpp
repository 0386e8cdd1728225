#include "state/StateError.h"
