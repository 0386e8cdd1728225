#include "Precompiled.h"
