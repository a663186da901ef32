package weldcross.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.api.Test;

class ListTermTest {

    private static Duration ms(long n) {
        return Duration.ofMillis(n);
    }

    /** Rule 3: what came right behind the last word counts as told 6 s later, whoever notices what. */
    @Test
    void aListStandsSixSecondsAndTheDrainsTimeAfterTheLastWord() {
        ListTerm term = new ListTerm(ms(500), false);
        assertFalse(term.stands(Duration.ZERO), "nothing was said yet");
        term.spoke(ms(1_000), ms(4_000));
        assertTrue(term.stands(ms(7_499)));
        assertFalse(term.stands(ms(7_500)));
    }

    /** Without a call open on which it could be told, what discovery has counts at once. */
    @Test
    void aListStandsTheDrainsTimeAfterTheLossOfDiscovery() {
        ListTerm term = new ListTerm(ms(2_000), false);
        term.spoke(ms(1_000), ms(4_000));
        term.unheard(ms(3_000));
        assertTrue(term.stands(ms(4_999)));
        assertFalse(term.stands(ms(5_000)));
        term.unheard(ms(4_000));
        assertEquals(ms(5_000), term.end(), "heard no later than before");
    }

    /** A watch is given up, and the list asked for anew, before what a silent one missed counts. */
    @Test
    void aWatchLeavesTimeToAskAnew() {
        assertEquals(ms(4_000), ListTerm.watch(ms(10_000), ms(1_000), false));
        assertEquals(ms(2_800), ListTerm.watch(ms(10_000), ms(1_600), false));
        assertEquals(ms(2_000), ListTerm.watch(ms(4_000), ms(1_000), false), "no longer than the service allows");
        assertEquals(ms(1_500), ListTerm.watch(ms(10_000), ms(4_000), false), "not ever shorter where dials take long");
    }

    /** Rule 3: the old address may go on to speak, and knows nothing of what the new one has. */
    @Test
    void aListStandsUntilWhatANewAddressHasCountsUnlessItSpeaks() {
        ListTerm term = new ListTerm(ms(2_000), false);
        term.spoke(ms(1_000), ms(4_000));
        term.moved(ms(2_000));
        term.spoke(ms(5_000), ms(4_000));
        assertTrue(term.stands(ms(7_999)));
        assertFalse(term.stands(ms(8_000)));
        term.arrived();
        assertEquals(ms(13_000), term.end());
    }

    /** Rule 3: what a call missed that was silent before it failed counts from the last word on. */
    @Test
    void onRequestAListStandsSixSecondsFromTheLastWordWhateverBecomesOfTheCalls() {
        ListTerm term = new ListTerm(ms(2_000), true);
        term.spoke(ms(1_000), ms(10_000));
        assertEquals(ms(15_000), term.end(), "while a watch is waited for what it misses counts 2 s after its wait");
        term.unheard(ms(9_500));
        assertFalse(term.stands(ms(9_500)));
        term.spoke(ms(10_000), ms(1));
        assertEquals(ms(18_000), term.end());
        term.unheard(ms(12_000));
        assertEquals(ms(18_000), term.end());
    }
}
